#include <LibAdmin/FormatOutcome.h>
#include <LibCore/TimeOfDay.h>
#include <LibRouter/Router.h>

#include <boost/asio/post.hpp>

#include <chrono>
#include <future>

namespace lycheeseam {

namespace {

// An instance stores nothing on disk, so its incarnation number is its start
// time on the wall clock, in milliseconds. Peers of older builds refuse a
// restart with a lower number, so that it isn't random.
instance_identity
MakeIdentity(daemon_settings const& aSettings)
{
  return instance_identity{ .mInstance = aSettings.mInstance,
                            .mIncarnation =
                              incarnation{ static_cast<std::uint64_t>(
                                TimeOfDay().count()) } };
}

// Longer than the appender needs to resolve an append whose answer was lost.
constexpr std::chrono::seconds kAdminTimeout{ 15 };

operator_directory
OperatorsOf(daemon_settings const& aSettings)
{
  operator_directory operators;
  for (operator_key const& one : aSettings.mOperators)
    operators.Add(one.mDigest, one.mName);
  return operators;
}

// The instance id and the incarnation make request ids unique in the fleet.
std::string
RequestIdPrefix(instance_identity const& aSelf)
{
  return aSelf.mInstance.Text() + "-" +
         std::to_string(aSelf.mIncarnation.Value()) + "-";
}

}

router::router(daemon_settings aSettings)
  : mSettings(std::move(aSettings))
  , mSelf(MakeIdentity(mSettings))
  , mTables(std::make_shared<config_tables const>())
  , mInstancesBody(std::make_shared<std::string const>("{}"))
  , mInbox(
      mControl.Context(),
      [this](control_message aMessage) { mCore->Handle(std::move(aMessage)); })
  , mTraffic(mSettings, RequestIdPrefix(mSelf), mInbox, mTables, mInstancesBody)
{
  mControl.Invoke([this]() {
    mCore = std::make_unique<control_core>(
      mControl.Context(),
      mSettings,
      mSelf,
      mTraffic,
      published_views{ .mTables = mTables, .mInstancesBody = mInstancesBody });
  });
  mTraffic.Open();
  mAdmin = std::make_unique<admin_server>(
    mSettings.mListen.mAdmin, OperatorsOf(mSettings), [this](admin_call aCall) {
      return RunAdminCall(std::move(aCall));
    });
}

// Blocks the admin thread until control answers. The callback shares ownership
// of the promise, so that an answer after the timeout is safe.
admin_answer
router::RunAdminCall(admin_call aCall)
{
  std::shared_ptr<std::promise<admin_answer>> const promise =
    std::make_shared<std::promise<admin_answer>>();
  std::future<admin_answer> answer = promise->get_future();
  boost::asio::post(mControl.Context(),
                    [this, promise, call = std::move(aCall)]() {
                      mCore->HandleAdmin(call, [promise](admin_answer aAnswer) {
                        promise->set_value(std::move(aAnswer));
                      });
                    });
  if (answer.wait_for(kAdminTimeout) != std::future_status::ready)
    return ErrorAnswer(
      503, "the control thread did not answer within the time limit");
  return answer.get();
}

// Stops the control thread and destroys its state before the traffic threads
// that it posts to.
router::~router()
{
  mAdmin.reset();
  mControl.Stop();
  mCore.reset();
}

void
router::Drain()
{
  std::promise<void> drained;
  boost::asio::post(mControl.Context(), [this, &drained]() {
    mCore->BeginDrain([&drained]() { drained.set_value(); });
  });
  drained.get_future().wait();
}

}
