#include <LibRouter/Router.h>

#include <boost/asio/post.hpp>

#include <chrono>
#include <future>

namespace lycheeseam {

namespace {

// An instance keeps nothing, so that the wall clock numbers its lives.
instance_life
MakeLife(daemon_settings const& aSettings)
{
  std::chrono::milliseconds const start =
    std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  return instance_life{ .mInstance = aSettings.mInstance,
                        .mIncarnation = incarnation{
                          static_cast<std::uint64_t>(start.count()) } };
}

// The instance's name and life keep ids apart over the fleet.
std::string
RequestIdPrefix(instance_life const& aSelf)
{
  return aSelf.mInstance.Text() + "-" +
         std::to_string(aSelf.mIncarnation.Value()) + "-";
}

}

router::router(daemon_settings aSettings)
  : mSettings(std::move(aSettings))
  , mSelf(MakeLife(mSettings))
  , mTables(std::make_shared<config_tables const>())
  , mInstancesBody(std::make_shared<std::string const>("{}"))
  , mInbox(
      mControl.Context(),
      [this](control_message aMessage) { mCore->Handle(std::move(aMessage)); })
  , mTraffic(mSettings, RequestIdPrefix(mSelf), mInbox, mTables, mInstancesBody)
{
  std::promise<void> made;
  boost::asio::post(mControl.Context(), [this, &made]() {
    mCore = std::make_unique<control_core>(
      mControl.Context(),
      mSettings,
      mSelf,
      mTraffic,
      published_views{ .mTables = mTables, .mInstancesBody = mInstancesBody });
    made.set_value();
  });
  made.get_future().wait();
  mTraffic.Open();
}

// Control ends first, and its state with it while the traffic threads that
// it posts to are still there.
router::~router()
{
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
