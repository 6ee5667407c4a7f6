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

/// One running instance: the control thread, the traffic threads, and the
/// ways between them.
class router
{
public:
  /// Starts everything; returns once callers are accepted.
  explicit router(daemon_settings aSettings);
  router(router const&) = delete;
  router& operator=(router const&) = delete;
  ~router();

  /// Begins a planned stop: takes no new callers, finishes what is open, and
  /// returns when nothing is open any more or the settings' bound has passed.
  void Drain();

private:
  admin_answer CarryOut(admin_call aCall);

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
