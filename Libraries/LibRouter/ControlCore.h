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

/// What control tells the traffic threads as snapshots.
struct published_views
{
  published<config_tables>& mTables;
  published<std::string>& mInstancesBody;
};

/// All state of the control thread: joins the log, the peers, the budget, the
/// claims and the director. Made, used and destroyed on that thread.
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

  /// Takes a message of a traffic thread.
  void Handle(control_message aMessage);

  /// Begins a planned stop; Done is called when nothing is open any more.
  void BeginDrain(std::function<void()> aDone);

  /// Carries out an operator's call; Done runs on this thread.
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
  void OnPeerMessage(instance_identity const& aPeer, peer_message& aMessage);
  void OnPeerDown(instance_identity const& aPeer, link_close_reason aReason);

private:
  using platform = platform_client<asio_poster>;

  // Bounds how late a pause is noticed and how late periodic work is done.
  static constexpr std::chrono::milliseconds kTick{ 200 };
  static constexpr std::chrono::milliseconds kListInterval{ 1000 };

  void Tick();
  void Advance();
  void Pump();
  void SendBudgetMessages(instant aNow);
  void AppendRecords(instant aNow);
  void BroadcastCrashes();
  void ArmTimer();
  void PublishTables();
  void PublishInstances();
  void UpdateLimits();
  void RefreshMembers();
  void TakeList(std::optional<instance_list> const& aList);
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
  // What this instance has no use for yet.
  template<typename Other>
  void HandlePeer(instance_identity const&, Other&)
  {
  }

  [[nodiscard]] peer_hello MakeHello() const;
  [[nodiscard]] peer_heartbeat MakeHeartbeat() const;
  [[nodiscard]] listed_instance MakeListing() const;

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
  std::set<workspace_id> mLimited;
  row_version mPublished;
  instant mNextTick{};
  instant mNextList{};
  bool mIsPumping = false;
  std::function<void()> mOnDrained;
};

}
