#include <LibMembership/FixedHeartbeatSupervisor.h>
#include <LibMembership/LinkSupervisor.h>
#include <LibMembership/QuietLinkSupervisor.h>

#include <Bench/Peers/MeasureSupervision.h>

#include <algorithm>
#include <random>
#include <string>

namespace lycheeseam::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kTick{ 100 };
constexpr seconds kTimeToCrash{ 120 };
constexpr int kRounds = 200;

// The frames of one simulated link, and the time from the peer's crash until it
// was detected.
struct link_result
{
  std::size_t mFrames = 0;
  duration mDetectionTime{};
};

// Simulates a link whose peer sends traffic, on average every aTraffic, until
// it crashes. Pings are answered within the next tick. mFrames counts the
// frames of both ends as twice those of one, with the answers.
template<link_supervisor Supervisor>
link_result
RunLink(Supervisor aSupervisor, milliseconds aTraffic, std::mt19937& aRandom)
{
  link_result result;
  std::uniform_int_distribution<int> phase{ 0, 9999 };
  instant const crash =
    instant{} + kTimeToCrash + milliseconds{ phase(aRandom) };
  std::exponential_distribution<double> gap{ 1.0 / static_cast<double>(
                                                     aTraffic.count()) };
  instant nextTraffic{};
  bool isAnswerDue = false;
  for (instant now{};; now += kTick) {
    bool const isAlive = now < crash;
    if (isAlive && isAnswerDue)
      aSupervisor.OnReceived(now);
    isAnswerDue = false;
    while (nextTraffic <= now) {
      if (isAlive)
        aSupervisor.OnReceived(now);
      nextTraffic += std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>{ gap(aRandom) });
    }
    link_check const check = aSupervisor.Check(now);
    if (check == link_check::Dead) {
      result.mDetectionTime = now - crash;
      return result;
    }
    if (check == link_check::Ping) {
      isAnswerDue = true;
      result.mFrames += isAlive ? 2 : 0;
    }
    if (check == link_check::Heartbeat) {
      // The peer sends heartbeats at the same interval.
      isAnswerDue = true;
      result.mFrames += isAlive ? 2 : 0;
    }
  }
}

// Whether a process that was itself paused closes the link to a running peer,
// because it checks its links before it reads what arrived during the pause.
template<link_supervisor Supervisor>
bool
ClosesLinkAfterOwnPause(Supervisor aSupervisor, milliseconds aPause)
{
  instant now{};
  for (int i = 0; i < 100; ++i) {
    now += kTick;
    aSupervisor.OnReceived(now);
    if (aSupervisor.Check(now) == link_check::Dead)
      return true;
  }
  now += aPause;
  return aSupervisor.Check(now) == link_check::Dead;
}

template<typename MakeSupervisor>
void
Measure(std::string const& aName,
        milliseconds aTraffic,
        MakeSupervisor aMake,
        std::vector<measurement>& aMeasurements)
{
  std::mt19937 random{ 1 };
  double frames = 0;
  duration worst{};
  duration sum{};
  for (int i = 0; i < kRounds; ++i) {
    link_result const one = RunLink(aMake(), aTraffic, random);
    frames += static_cast<double>(one.mFrames);
    worst = std::max(worst, one.mDetectionTime);
    sum += one.mDetectionTime;
  }
  auto const add =
    [&](std::string const& aWhat, double aValue, char const* aUnit) {
      aMeasurements.push_back(
        { .mName = aName + ": " + aWhat,
          .mSizeOf = "ms traffic gap",
          .mSize = static_cast<std::size_t>(aTraffic.count()),
          .mValue = aValue,
          .mUnit = aUnit });
    };
  // The time to the crash plus the mean of its random phase, in seconds.
  double const span = static_cast<double>(kRounds) * 125.0;
  add("supervision frames on a link", frames / span, "frames/s");
  add("death noticed, mean",
      std::chrono::duration<double>{ sum }.count() / kRounds,
      "s virtual");
  add("death noticed, worst",
      std::chrono::duration<double>{ worst }.count(),
      "s virtual");
  add("live peer lost by own pause",
      ClosesLinkAfterOwnPause(aMake(), seconds{ 10 }) ? 1.0 : 0.0,
      "peers");
}

}

std::vector<measurement>
MeasureSupervision()
{
  std::vector<measurement> measurements;
  for (milliseconds const traffic :
       { milliseconds{ 50 }, milliseconds{ 500 }, milliseconds{ 5000 } }) {
    Measure(
      "quiet-link pings",
      traffic,
      []() {
        quiet_link_options const options{ .mHeartbeatInterval =
                                            duration::zero() };
        return quiet_link_supervisor{ options, instant{} };
      },
      measurements);
    Measure(
      "heartbeats, pings on silence",
      traffic,
      []() {
        return quiet_link_supervisor{ {}, instant{} };
      },
      measurements);
    Measure(
      "fixed heartbeats",
      traffic,
      []() {
        return fixed_heartbeat_supervisor{ {}, instant{} };
      },
      measurements);
  }
  return measurements;
}

}
