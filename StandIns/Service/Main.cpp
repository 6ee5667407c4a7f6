#include <StandIns/Http/RunStandIn.h>
#include <StandIns/Service/ServiceApi.h>
#include <gflags/gflags.h>

#include <cstdlib>

DEFINE_string(address, "127.0.0.1", "IP number to listen on");
DEFINE_uint32(port, 9101, "TCP port to listen on");
DEFINE_string(id, "service-1", "this service's id");

namespace lycheeseam::standin {
namespace {

void
Run()
{
  boost::asio::io_context context{ 1 };
  service_api api{ context, backend_server_id{ FLAGS_id } };
  endpoint const address{ .mAddress = FLAGS_address,
                          .mPort = static_cast<std::uint16_t>(FLAGS_port) };
  RunStandIn(context, api, address);
}

}
}

int
main(int aArgumentCount, char** aArguments)
{
  gflags::SetUsageMessage("A stand-in for a plain service.");
  gflags::ParseCommandLineFlags(&aArgumentCount, &aArguments, true);
  lycheeseam::standin::Run();
  return EXIT_SUCCESS;
}
