#pragma once

#include <LibConfig/ConfigTables.h>
#include <LibCore/Published.h>
#include <LibFront/FrontServer.h>
#include <LibRouter/ControlInbox.h>
#include <LibSettings/DaemonSettings.h>
#include <LibUpstream/UpstreamLoop.h>

#include <memory>
#include <string>
#include <vector>

namespace lycheeseam {

/// The traffic threads and the ways between them and control. Pieces of
/// answers go from the upstream loops to the front workers directly; control
/// sees a call's beginning and its attempts' ends.
class traffic
{
public:
  traffic(daemon_settings const& aSettings,
          std::string aRequestIdPrefix,
          control_inbox& aInbox,
          published<config_tables> const& aTables,
          published<std::string> const& aInstancesBody);
  traffic(traffic const&) = delete;
  traffic& operator=(traffic const&) = delete;
  ~traffic();

  /// Begins to accept callers; control is ready by then.
  void Open();

  // What control asks for (control_ports).
  void PostFront(front_message aMessage);
  void PostUpstream(upstream_command aCommand);

  // What front workers tell (call_sink).
  void OnCall(caller_request aRequest);
  void OnCallerDisconnected(call_number aCall);
  void OnPace(call_number aCall, caller_pace aPace);
  std::string ModelsBody();
  std::string InstancesBody();

  // What upstream loops tell (upstream_sink).
  void OnHead(upstream_head aHead);
  void OnPiece(upstream_piece aPiece);
  void OnEnd(upstream_end aEnd);

private:
  front_options mFrontOptions;
  control_inbox& mInbox;
  published<config_tables> const& mTables;
  published<std::string> const& mInstancesBody;
  std::unique_ptr<front_server<traffic>> mFront;
  std::vector<std::unique_ptr<upstream_loop<traffic>>> mLoops;
};

}
