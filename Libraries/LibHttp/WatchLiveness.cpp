#include <LibHttp/WatchLiveness.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace lycheeseam {

namespace {

// The shortest times that the kernel allows.
constexpr int kProbeAfterSeconds = 1;
constexpr int kProbeIntervalSeconds = 1;
// Without TCP_USER_TIMEOUT, the connection fails after this many probes.
constexpr int kProbes = 2;

void
SetOption(int aSocket, int aLevel, int aName, int aValue)
{
  // The result is ignored: on a system without the option, the time limits of
  // requests detect an unreachable peer instead.
  ::setsockopt(aSocket, aLevel, aName, &aValue, sizeof(aValue));
}

}

void
WatchLiveness(boost::asio::ip::tcp::socket& aSocket,
              std::chrono::milliseconds aTimeout)
{
  int const native = aSocket.native_handle();
  SetOption(
    native, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(aTimeout.count()));
  SetOption(native, IPPROTO_TCP, TCP_KEEPIDLE, kProbeAfterSeconds);
  SetOption(native, IPPROTO_TCP, TCP_KEEPINTVL, kProbeIntervalSeconds);
  SetOption(native, IPPROTO_TCP, TCP_KEEPCNT, kProbes);
  SetOption(native, SOL_SOCKET, SO_KEEPALIVE, 1);
}

}
