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

/// Owns the traffic threads and passes messages between them and the control
/// thread. Pieces of answers go from the upstream loops directly to the front
/// workers; control receives only the start of each call and the end of each
/// attempt. The functions are called from control and traffic threads.
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

  /// Starts to accept callers; control must be ready.
  void Open();

  // control_ports; traffic threads call them too
  void PostFront(front_message aMessage);
  void PostUpstream(upstream_command aCommand);

  // call_sink, called by front workers
  void OnCall(caller_request aRequest);
  void OnCallerDisconnected(call_number aCall);
  void OnPace(call_number aCall, caller_pace aPace);
  std::string ModelsBody();
  std::string InstancesBody();

  // upstream_sink, called by upstream loops
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
