#pragma once

#include <LibAdmin/AdminServer.h>
#include <LibConfig/ConfigTables.h>
#include <LibControl/ControlThread.h>
#include <LibCore/Published.h>
#include <LibRouter/ControlCore.h>
#include <LibRouter/ControlInbox.h>
#include <LibRouter/Traffic.h>
#include <LibSettings/DaemonSettings.h>

#include <memory>
#include <string>

namespace lycheeseam {

/// One running instance: its control thread, its traffic threads, its admin
/// server and the message channels between them.
class router
{
public:
  /// Starts all threads; returns once callers are accepted.
  explicit router(daemon_settings aSettings);
  router(router const&) = delete;
  router& operator=(router const&) = delete;
  ~router();

  /// Runs a planned stop: accepts requests until callers no longer use this
  /// instance's address, then finishes open calls, and returns when no call is
  /// open or the settings' time limit has passed.
  void Drain();

private:
  admin_answer RunAdminCall(admin_call aCall);

  daemon_settings mSettings;
  instance_identity mSelf;
  published<config_tables> mTables;
  published<std::string> mInstancesBody;
  control_thread mControl;
  control_inbox mInbox;
  traffic mTraffic;
  std::unique_ptr<control_core> mCore;
  std::unique_ptr<admin_server> mAdmin;
};

}
