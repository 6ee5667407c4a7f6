#pragma once

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

private:
  daemon_settings mSettings;
  published<config_tables> mTables;
  published<std::string> mInstancesBody;
  control_thread mControl;
  control_inbox mInbox;
  traffic mTraffic;
  std::unique_ptr<control_core> mCore;
};

}
