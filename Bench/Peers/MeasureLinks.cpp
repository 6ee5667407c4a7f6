#include <LibCore/SystemClock.h>
#include <LibMembership/FixedHeartbeatSupervisor.h>
#include <LibPeer/PeerHub.h>

#include <Bench/Peers/MeasureLinks.h>
#include <Bench/Peers/ProcessorTime.h>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>

namespace lycheeseam::bench {

namespace {

constexpr std::chrono::milliseconds kHeartbeatInterval{ 50 };
constexpr std::chrono::seconds kMeasuredTime{ 2 };

peer_heartbeat
MakeHeartbeat(std::size_t aDomains)
{
  peer_heartbeat beat{ .mSentAt = instant{} + std::chrono::hours{ 5 },
                       .mEcho = instant{} + std::chrono::hours{ 4 },
                       .mApplied = log_offset{ 100000 },
                       .mTail =
                         tail_observation{ .mTail = log_offset{ 100000 } } };
  for (std::size_t i = 0; i < aDomains; ++i)
    beat.mDomains.push_back(
      { .mDomain = DomainCode(failure_domain{ "d" + std::to_string(i) }),
        .mAge = std::chrono::milliseconds{ 500 } });
  return beat;
}

// A peer hub on the loopback address that ignores all messages.
class bench_peer
{
public:
  using hub = peer_hub<bench_peer, fixed_heartbeat_supervisor, system_clock>;

  bench_peer(boost::asio::io_context& aContext, std::string const& aName)
    : mHub(
        aContext,
        { .mTick = std::chrono::milliseconds{ 10 } },
        Hello(aName),
        *this,
        [](instant aNow) {
          fixed_heartbeat_options const options{ .mInterval =
                                                   kHeartbeatInterval };
          return fixed_heartbeat_supervisor{ options, aNow };
        },
        []() { return MakeHeartbeat(12); },
        system_clock{})
  {
    mHub.Listen({ .mAddress = "127.0.0.1" });
  }

  static peer_hello Hello(std::string const& aName)
  {
    endpoint const none = endpoint::Parse("127.0.0.1:1");
    return { .mIdentity = { .mInstance = instance_id{ aName } },
             .mFailureDomain = failure_domain{ "here" },
             .mCallers = none,
             .mPeers = none };
  }

  void OnPeerUp(peer_hello const&) {}
  void OnLinkReplaced(peer_hello const&) {}
  void OnHelloRefused(peer_hello const&, link_close_reason) {}
  void OnPeerMessage(instance_identity const&, peer_message&) {}
  void OnPeerDown(instance_identity const&, link_close_reason) {}

  hub mHub;
};

double
MicrosecondsPerHeartbeat(std::size_t aLinks)
{
  boost::asio::io_context context;
  bench_peer centre{ context, "centre" };
  peer_contact const contact{ .mAddress = { .mAddress = "127.0.0.1",
                                            .mPort = centre.mHub.Port() } };
  std::vector<std::unique_ptr<bench_peer>> peers;
  for (std::size_t i = 0; i < aLinks; ++i) {
    peers.push_back(
      std::make_unique<bench_peer>(context, "p" + std::to_string(i)));
    peers.back()->mHub.SetPeers(std::span{ &contact, 1 });
    peers.back()->mHub.Start();
  }
  centre.mHub.Start();
  context.run_for(std::chrono::milliseconds{ 500 });
  std::uint64_t const framesBefore =
    centre.mHub.Counters().mFramesSent + centre.mHub.Counters().mFramesReceived;
  std::chrono::nanoseconds const start = ProcessorTime();
  context.run_for(kMeasuredTime);
  std::chrono::nanoseconds const used = ProcessorTime() - start;
  std::uint64_t const frames = centre.mHub.Counters().mFramesSent +
                               centre.mHub.Counters().mFramesReceived -
                               framesBefore;
  // Both ends of each link are in this process, so the time per frame is what
  // an instance uses to send one frame and to receive one.
  return std::chrono::duration<double, std::micro>{ used }.count() /
         static_cast<double>(frames);
}

}

std::vector<measurement>
MeasureLinks()
{
  std::vector<measurement> measurements;
  for (std::size_t const domains : { 1, 4, 12, 24 }) {
    encoded_frame const frame = EncodePeerMessage(MakeHeartbeat(domains));
    measurements.push_back({ .mName = "heartbeat frame",
                             .mSizeOf = "domains",
                             .mSize = domains,
                             .mValue = static_cast<double>(frame->size()),
                             .mUnit = "B" });
  }
  for (std::size_t const links : { 8, 24, 72 })
    measurements.push_back({ .mName = "heartbeat sent and received, 12 domains",
                             .mSizeOf = "links",
                             .mSize = links,
                             .mValue = MicrosecondsPerHeartbeat(links),
                             .mUnit = "us processor" });
  return measurements;
}

}
