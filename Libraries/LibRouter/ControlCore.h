#pragma once

#include <LibConfig/ConfigTables.h>
#include <LibControl/RequestDirector.h>
#include <LibCore/Published.h>
#include <LibCore/SystemClock.h>
#include <LibPlacement/RendezvousPolicy.h>
#include <LibPlatform/PlatformClient.h>
#include <LibRouter/AsioPoster.h>
#include <LibRouter/Traffic.h>
#include <LibSettings/DaemonSettings.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace lycheeseam {

/// All state of the control thread; made, used and destroyed on it.
class control_core
{
public:
  control_core(boost::asio::io_context& aContext,
               daemon_settings const& aSettings,
               traffic& aTraffic,
               published<config_tables>& aTables);

  /// Takes a message of a traffic thread.
  void Handle(control_message aMessage);

private:
  void ReadLog();
  void HandleRead(read_result const& aResult);
  void Apply(log_entry const& aEntry);
  void ArmTimer();

  system_clock mClock;
  boost::asio::steady_timer mTimer;
  published<config_tables>& mTables;
  request_director<traffic, rendezvous_policy> mDirector;
  platform_client<asio_poster> mPlatform;
  config_tables mCurrent;
};

}
