#pragma once

#include <LibAdmin/AdminCallHandler.h>
#include <LibControl/RequestDirector.h>
#include <LibCore/Published.h>
#include <LibCore/SystemClock.h>
#include <LibMembership/QuietLinkSupervisor.h>
#include <LibMetrics/MetricsRecorder.h>
#include <LibMetrics/MetricsStore.h>
#include <LibPeer/PeerHub.h>
#include <LibPlacement/RendezvousPolicy.h>
#include <LibPlatform/CheckpointWriter.h>
#include <LibPlatform/LogAppender.h>
#include <LibPlatform/LogFollower.h>
#include <LibPlatform/PlatformClient.h>
#include <LibRouter/AsioPoster.h>
#include <LibRouter/FleetState.h>
#include <LibRouter/InstanceStatus.h>
#include <LibRouter/Traffic.h>
#include <LibSettings/DaemonSettings.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <optional>

namespace lycheeseam {

/// The snapshots that the control thread publishes to the traffic threads.
struct published_views
{
  published<config_tables>& mTables;
  published<std::string>& mInstancesBody;
};

/// Owns the control thread's state and connects its parts: the log, the peers,
/// the token budget, the claims and the request_director. Constructed and used
/// on the control thread; destroyed after that thread has ended.
class control_core
{
public:
  control_core(boost::asio::io_context& aContext,
               daemon_settings const& aSettings,
               instance_identity const& aSelf,
               traffic& aTraffic,
               published_views aViews);
  control_core(control_core const&) = delete;
  control_core& operator=(control_core const&) = delete;

  /// Handles a message from a traffic thread.
  void Handle(control_message aMessage);

  /// Begins a planned stop. Requests are accepted until callers no longer use
  /// this instance's address; then calls aDone on this thread once no call is
  /// open or the time limit for the stop has passed.
  void BeginDrain(std::function<void()> aDone);

  /// Runs an operator's call; calls aDone on this thread.
  void HandleAdmin(admin_call const& aCall, admin_callback aDone);

  // admin_control
  [[nodiscard]] config_tables const& Tables() const;
  void Propose(config_proposal aProposal, proposal_callback const& aDone);
  [[nodiscard]] std::string StatusText();
  [[nodiscard]] std::string MetricsText();

  // log_observer
  void OnEntry(log_entry const& aEntry);
  void OnJump(log_offset aCovers);
  void OnReadEnd();

  // peer_handler
  void OnPeerUp(peer_hello const& aHello);
  void OnLinkReplaced(peer_hello const& aHello);
  void OnHelloRefused(peer_hello const&, link_close_reason) {}
  void OnPeerMessage(instance_identity const& aPeer, peer_message& aMessage);
  void OnPeerDown(instance_identity const& aPeer, link_close_reason aReason);

private:
  using platform = platform_client<asio_poster>;

  // The longest delay with which a pause of this process is detected and
  // periodic work is done.
  static constexpr std::chrono::milliseconds kTickInterval{ 200 };
  // How often this instance requests the instance list and registers again.
  static constexpr std::chrono::milliseconds kListInterval{ 1000 };

  void Tick();
  void Advance();
  void SendPending();
  void SendBudgetMessages(instant aNow);
  void AppendRecords(instant aNow);
  void BroadcastCrashes();
  void ArmTimer();
  void PublishTables();
  void PublishInstances();
  void UpdateLimits();
  void RefreshMembers();
  void ApplyInstanceList(std::optional<instance_list> const& aList);
  void SelectLinks();
  void Register();
  void CheckDrain(instant aNow);
  void RequestSnapshot(instance_id const& aPeer);
  void FinishProposal(append_outcome const& aEnd,
                      proposal_callback const& aDone) const;
  void SetGauge(char const* aMetric, double aValue);

  void HandlePeer(instance_identity const& aPeer, peer_heartbeat& aHeartbeat);
  void HandlePeer(instance_identity const& aPeer, snapshot_request& aRequest);
  void HandlePeer(instance_identity const& aPeer, snapshot_answer& aAnswer);
  void HandlePeer(instance_identity const& aPeer, poison_notice& aNotice);
  void HandlePeer(instance_identity const& aPeer, drain_notice& aNotice);
  void HandlePeer(instance_identity const& aPeer, budget_message& aMessage);
  // Ignores all other messages.
  template<typename Other>
  void HandlePeer(instance_identity const&, Other&)
  {
  }

  [[nodiscard]] peer_hello MakeHello() const;
  [[nodiscard]] peer_heartbeat MakeHeartbeat() const;
  [[nodiscard]] listed_instance MakeRegistration() const;

  daemon_settings const& mSettings;
  published_views mViews;
  system_clock mClock;
  boost::asio::steady_timer mTimer;
  instance_status mStatus;
  fleet_budget mBudget;
  once_gate mGate;
  poison_table mPoison;
  fleet_state mState;
  platform mPlatform;
  log_follower<platform, fleet_state, control_core> mFollower;
  log_appender<platform> mAppender;
  checkpoint_writer<platform, fleet_state> mCheckpoints;
  metrics_recorder mRecorder;
  metrics_store mMetrics;
  request_director<traffic, instance_status, rendezvous_policy> mDirector;
  peer_hub<control_core, quiet_link_supervisor, system_clock> mHub;
  admin_call_handler<control_core> mAdmin;
  // The workspaces whose limits were passed to the budget.
  std::set<workspace_id> mLimitedWorkspaces;
  // The version of the tables that were last published.
  row_version mPublished;
  instant mNextTick{};
  instant mNextListRequest{};
  bool mIsSendingPending = false;
  std::function<void()> mOnDrained;
};

}
