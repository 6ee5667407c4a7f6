#include <LibRouter/ControlCore.h>

namespace lycheeseam {

control_core::control_core(boost::asio::io_context& aContext,
                           daemon_settings const& aSettings,
                           traffic& aTraffic,
                           published<config_tables>& aTables)
  : mTimer(aContext)
  , mTables(aTables)
  , mDirector(aTraffic, aSettings.mFailureDomain)
  , mPlatform(
      platform_options{ .mAddress = aSettings.mPlatform,
                        .mCallTimeout = aSettings.mTimeouts.mPlatformRequest },
      asio_poster{ &aContext })
{
  ReadLog();
}

void
control_core::Handle(control_message aMessage)
{
  instant const now = mClock.Now();
  std::visit(
    [this, now](auto& aAny) { mDirector.Handle(std::move(aAny), now); },
    aMessage);
  ArmTimer();
}

// The timer always stands at the earliest deadline, and nowhere when there
// is none: an idle control thread sleeps.
void
control_core::ArmTimer()
{
  std::optional<instant> const wake = mDirector.NextWake();
  if (!wake) {
    mTimer.cancel();
    return;
  }
  mTimer.expires_after(*wake - mClock.Now());
  mTimer.async_wait([this](boost::system::error_code const& aError) {
    if (aError)
      return;
    mDirector.Tick(mClock.Now());
    ArmTimer();
  });
}

// FIXME: Replace with the log follower, which backs off in an outage and
// knows checkpoints.
void
control_core::ReadLog()
{
  read_request const request{ .mFrom = mCurrent.mOffset.Next(),
                              .mMaxWait = std::chrono::milliseconds{ 1000 } };
  mPlatform.Read(request,
                 [this](read_result const& aResult) { HandleRead(aResult); });
}

void
control_core::HandleRead(read_result const& aResult)
{
  for (log_entry const& entry : aResult.mEntries)
    Apply(entry);
  if (!aResult.mEntries.empty()) {
    std::shared_ptr<config_tables const> const next =
      std::make_shared<config_tables const>(mCurrent);
    mTables.Publish(next);
    mDirector.SetTables(next);
  }
  ReadLog();
}

// FIXME: Replace with the configuration fold, which checks proposals.
void
control_core::Apply(log_entry const& aEntry)
{
  mCurrent.mOffset = aEntry.mOffset;
  config_proposal const* const proposal =
    std::get_if<config_proposal>(&aEntry.mRecord);
  if (!proposal)
    return;
  row_version const version{ aEntry.mOffset.Value() };
  for (any_row_change const& change : proposal->mChanges) {
    if (auto const* route = std::get_if<route_change>(&change))
      mCurrent.mRoutes[route->mName] = { *route->mRow, version };
    if (auto const* pool = std::get_if<pool_change>(&change))
      mCurrent.mPools[pool->mName] = { *pool->mRow, version };
    if (auto const* key = std::get_if<key_change>(&change))
      mCurrent.mKeys[key->mName] = { *key->mRow, version };
    if (auto const* workspace = std::get_if<workspace_change>(&change))
      mCurrent.mWorkspaces[workspace->mName] = { *workspace->mRow, version };
  }
}

}
