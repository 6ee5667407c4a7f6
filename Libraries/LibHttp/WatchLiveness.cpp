#include <LibHttp/WatchLiveness.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace lycheeseam {

namespace {

// The shortest that the kernel allows, in seconds.
constexpr int kProbeAfter = 1;
constexpr int kProbeInterval = 1;
constexpr int kProbes = 2;

void
SetOption(int aSocket, int aLevel, int aName, int aValue)
{
  // A system without the option finds out by its time limits instead.
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
  SetOption(native, IPPROTO_TCP, TCP_KEEPIDLE, kProbeAfter);
  SetOption(native, IPPROTO_TCP, TCP_KEEPINTVL, kProbeInterval);
  SetOption(native, IPPROTO_TCP, TCP_KEEPCNT, kProbes);
  SetOption(native, SOL_SOCKET, SO_KEEPALIVE, 1);
}

}
