#include <StandIns/Http/HttpServer.h>
#include <StandIns/Service/ServiceApi.h>
#include <gflags/gflags.h>

#include <cstdlib>

DEFINE_string(address, "127.0.0.1", "IP number to listen on");
DEFINE_uint32(port, 9101, "TCP port to listen on");
DEFINE_string(id, "service-1", "this service's id");

namespace lycheeseam {
namespace {

/// A crashed service's exit code.
constexpr int kCrashExitCode = 70;

void
Run()
{
  boost::asio::io_context context{ 1 };
  service_api api{ context, backend_server_id{ FLAGS_id } };
  endpoint const address{ .mAddress = FLAGS_address,
                          .mPort = static_cast<std::uint16_t>(FLAGS_port) };
  http_server<service_api> server{ context, address, api };
  api.OnCrash([&server]() {
    server.Abort();
    std::_Exit(kCrashExitCode);
  });
  server.Listen();
  context.run();
}

}
}

int
main(int aArgumentCount, char** aArguments)
{
  gflags::SetUsageMessage("A stand-in for a plain service.");
  gflags::ParseCommandLineFlags(&aArgumentCount, &aArguments, true);
  lycheeseam::Run();
  return EXIT_SUCCESS;
}
