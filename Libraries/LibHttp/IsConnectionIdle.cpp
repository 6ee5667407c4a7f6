#include <LibHttp/IsConnectionIdle.h>

#include <sys/socket.h>

#include <cerrno>

namespace lycheeseam {

bool
IsConnectionIdle(boost::asio::ip::tcp::socket& aSocket)
{
  char byte = 0;
  return ::recv(aSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) <
           0 &&
         (errno == EAGAIN || errno == EWOULDBLOCK);
}

}
