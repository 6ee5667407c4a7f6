#include <LibCore/SystemClock.h>
#include <LibRouter/Router.h>

#include <boost/asio/post.hpp>

#include <future>

namespace lycheeseam {

namespace {

// The instance's name and the moment of its start keep ids apart over
// instances and lives.
std::string
RequestIdPrefix(daemon_settings const& aSettings)
{
  std::int64_t const start = system_clock{}.Now().time_since_epoch().count();
  return aSettings.mInstance.Text() + "-" + std::to_string(start) + "-";
}

}

router::router(daemon_settings aSettings)
  : mSettings(std::move(aSettings))
  , mTables(std::make_shared<config_tables const>())
  , mInstancesBody(std::make_shared<std::string const>("{}"))
  , mInbox(
      mControl.Context(),
      [this](control_message aMessage) { mCore->Handle(std::move(aMessage)); })
  , mTraffic(mSettings,
             RequestIdPrefix(mSettings),
             mInbox,
             mTables,
             mInstancesBody)
{
  std::promise<void> made;
  boost::asio::post(mControl.Context(), [this, &made]() {
    mCore = std::make_unique<control_core>(
      mControl.Context(), mSettings, mTraffic, mTables);
    made.set_value();
  });
  made.get_future().wait();
  mTraffic.Open();
}

router::~router()
{
  mControl.Stop();
}

}
