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

  /// Adds a request behind its workspace's others.
  void Push(admission_request aRequest);

  /// Takes the request whose turn it is.
  std::optional<admission_request> Pop(weight_map const& aWeights);

  /// Takes a request out of its place; false when it isn't here.
  bool Remove(workspace_id const& aWorkspace, ticket aTicket);

  [[nodiscard]] bool IsEmpty() const noexcept { return mFlows.empty(); }

private:
  using flow_list = std::list<workspace_flow>;

  void BeginTurn(workspace_flow& aFlow, weight_map const& aWeights) const;
  void EndTurn();
  admission_request TakeFront();

  token_count mQuantum;
  /// Flows with waiting requests; the first has the turn.
  flow_list mFlows;
  std::unordered_map<workspace_id, flow_list::iterator> mFlowOf;
};

}
