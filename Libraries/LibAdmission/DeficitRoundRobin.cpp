#include <LibAdmission/DeficitRoundRobin.h>

#include <algorithm>
#include <utility>

namespace lycheeseam {

void
deficit_round_robin::Push(admission_request aRequest)
{
  auto found = mFlowByWorkspace.find(aRequest.mWorkspace);
  if (found == mFlowByWorkspace.end()) {
    mFlows.push_back(workspace_flow{ .mWorkspace = aRequest.mWorkspace });
    found =
      mFlowByWorkspace.emplace(aRequest.mWorkspace, std::prev(mFlows.end()))
        .first;
  }
  found->second->mWaiting.push_back(std::move(aRequest));
}

std::optional<admission_request>
deficit_round_robin::Pop(weight_map const& aWeights)
{
  if (mFlows.empty())
    return std::nullopt;
  // Each turn adds at least a quantum to its flow's deficit, so the loop ends
  // after at most (largest cost / quantum, rounded up) rounds, not counting a
  // turn that began in an earlier call.
  while (true) {
    workspace_flow& flow = mFlows.front();
    BeginTurn(flow, aWeights);
    if (flow.mWaiting.front().mCost <= flow.mDeficit)
      return PopFront();
    EndTurn();
  }
}

bool
deficit_round_robin::Remove(workspace_id const& aWorkspace, ticket aTicket)
{
  auto const found = mFlowByWorkspace.find(aWorkspace);
  if (found == mFlowByWorkspace.end())
    return false;
  std::deque<admission_request>& waiting = found->second->mWaiting;
  auto const position =
    std::ranges::find(waiting, aTicket, &admission_request::mTicket);
  if (position == waiting.end())
    return false;
  waiting.erase(position);
  if (waiting.empty()) {
    mFlows.erase(found->second);
    mFlowByWorkspace.erase(found);
  }
  return true;
}

void
deficit_round_robin::BeginTurn(workspace_flow& aFlow,
                               weight_map const& aWeights) const
{
  if (aFlow.mHasTurn)
    return;
  auto const found = aWeights.find(aFlow.mWorkspace);
  std::uint32_t const weight = found == aWeights.end() ? 1 : found->second;
  aFlow.mHasTurn = true;
  aFlow.mDeficit += mQuantum * std::max<std::uint32_t>(weight, 1);
}

void
deficit_round_robin::EndTurn()
{
  mFlows.front().mHasTurn = false;
  mFlows.splice(mFlows.end(), mFlows, mFlows.begin());
}

admission_request
deficit_round_robin::PopFront()
{
  workspace_flow& flow = mFlows.front();
  admission_request front = std::move(flow.mWaiting.front());
  flow.mWaiting.pop_front();
  flow.mDeficit -= front.mCost;
  // An empty flow loses its deficit, so that idle workspaces save up no credit.
  if (flow.mWaiting.empty()) {
    mFlowByWorkspace.erase(flow.mWorkspace);
    mFlows.pop_front();
  }
  return front;
}

}
