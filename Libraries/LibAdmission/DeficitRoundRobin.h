#pragma once

#include <LibAdmission/AdmissionRequest.h>
#include <LibAdmission/WorkspaceFlow.h>

#include <list>
#include <optional>
#include <unordered_map>

namespace lycheeseam {

/// Deficit round robin by token cost over the workspaces of one priority
/// class.
class deficit_round_robin
{
public:
  /// Weights by workspace; a missing one counts as 1.
  using weight_map = std::unordered_map<workspace_id, std::uint32_t>;

  explicit deficit_round_robin(token_count aQuantum)
    : mQuantum(aQuantum)
  {
  }

  /// Appends a request to its workspace's flow.
  void Push(admission_request aRequest);

  /// Takes the next request; nothing when none waits.
  std::optional<admission_request> Pop(weight_map const& aWeights);

  /// Removes a request; false when it doesn't wait here.
  bool Remove(workspace_id const& aWorkspace, ticket aTicket);

  [[nodiscard]] bool IsEmpty() const noexcept { return mFlows.empty(); }

private:
  using flow_list = std::list<workspace_flow>;

  void BeginTurn(workspace_flow& aFlow, weight_map const& aWeights) const;
  void EndTurn();
  admission_request PopFront();

  token_count mQuantum;
  /// Flows with waiting requests; the first one has the current turn.
  flow_list mFlows;
  std::unordered_map<workspace_id, flow_list::iterator> mFlowByWorkspace;
};

}
