#include "RelayThread.h"

#include "ScenarioFailure.h"

#include <boost/asio/post.hpp>
#include <boost/asio/use_future.hpp>

namespace lycheeseam {

namespace {

void
ActOn(relay& aRelay, relay_action aAction)
{
  switch (aAction) {
    case relay_action::Cut:
      return aRelay.Cut();
    case relay_action::Heal:
      return aRelay.Heal();
    case relay_action::Reset:
      return aRelay.Reset();
    case relay_action::LoseNextAnswer:
      return aRelay.LoseNextAnswer();
  }
}

}

relay_thread::relay_thread()
  : mWork(mContext.get_executor())
  , mThread([this]() { mContext.run(); })
{
}

relay_thread::~relay_thread()
{
  mContext.stop();
  mThread.join();
}

std::uint16_t
relay_thread::Add(std::string_view aName, std::uint16_t aTargetPort)
{
  std::shared_ptr<relay> const added =
    std::make_shared<relay>(mContext, aTargetPort);
  mRelays[std::string{ aName }] = added;
  boost::asio::post(mContext, [added]() { added->Start(); });
  return added->Port();
}

void
relay_thread::Act(std::string_view aName, relay_action aAction)
{
  auto const found = mRelays.find(aName);
  if (found == mRelays.end())
    throw scenario_failure("there is no relay named " + std::string{ aName });
  auto const act = [target = found->second, aAction]() {
    ActOn(*target, aAction);
  };
  boost::asio::post(mContext, boost::asio::use_future(act)).get();
}

}
