#include <LibGateway/ChannelPool.h>

#include <sys/socket.h>

#include <utility>

namespace lycheeseam {

namespace {

// An idle connection has nothing to say: an end, a reset and bytes that
// belong to no request all make it unfit.
bool
IsSilent(boost::asio::ip::tcp::socket& aSocket)
{
  char byte = 0;
  return ::recv(aSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) <
           0 &&
         (errno == EAGAIN || errno == EWOULDBLOCK);
}

}

std::shared_ptr<channel_pool::tcp::socket>
channel_pool::Take(instant aNow, registered_server const& aServer)
{
  auto const found = mServers.find(aServer.mId);
  if (found == mServers.end() ||
      found->second.mIncarnation != aServer.mIncarnation)
    return nullptr;
  std::vector<server_channel>& idle = found->second.mIdle;
  while (!idle.empty()) {
    server_channel channel = std::move(idle.back());
    idle.pop_back();
    if (aNow < channel.mUsableUntil && IsSilent(*channel.mSocket))
      return std::move(channel.mSocket);
  }
  return nullptr;
}

void
channel_pool::Give(registered_server const& aServer, server_channel aChannel)
{
  server_channels& known = mServers[aServer.mId];
  if (known.mIncarnation != aServer.mIncarnation) {
    known.mIncarnation = aServer.mIncarnation;
    known.mIdle.clear();
  }
  known.mIdle.push_back(std::move(aChannel));
}

void
channel_pool::Prune(instant aNow)
{
  for (server_map::value_type& server : mServers)
    std::erase_if(server.second.mIdle, [aNow](server_channel const& aChannel) {
      return aNow >= aChannel.mUsableUntil;
    });
  std::erase_if(mServers,
                [](auto const& aEntry) { return aEntry.second.mIdle.empty(); });
}

void
channel_pool::Forget(backend_server_id const& aServer)
{
  mServers.erase(aServer);
}

}
