#include <LibPeer/DecodeBudgetMessage.h>

namespace lycheeseam {

namespace {

instance_identity
DecodeIdentity(wire::Life const& aIdentity)
{
  return { .mInstance = instance_id{ aIdentity.instance()->str() },
           .mIncarnation = incarnation{ aIdentity.incarnation() } };
}

// An unknown result counts as NotHolder, which lends no tokens.
grant_result
DecodeResult(wire::GrantResult aResult)
{
  switch (aResult) {
    case wire::GrantResult::Lent:
      return grant_result::Lent;
    case wire::GrantResult::Queued:
      return grant_result::Queued;
    case wire::GrantResult::Short:
      return grant_result::Short;
    case wire::GrantResult::Withheld:
      return grant_result::Withheld;
    case wire::GrantResult::NotHolder:
      break;
  }
  return grant_result::NotHolder;
}

}

budget_message
DecodeBudgetMessage(wire::TokenRequest const& aTable)
{
  return token_request{ .mFrom = DecodeIdentity(*aTable.from()),
                        .mSequence = aTable.sequence(),
                        .mWorkspace = workspace_id{ aTable.workspace()->str() },
                        .mSlot = slot_id{ aTable.slot() },
                        .mWanted = aTable.wanted(),
                        .mMaxQueueTime = duration{ aTable.patience_ns() } };
}

budget_message
DecodeBudgetMessage(wire::TokenGrant const& aTable)
{
  return token_grant{ .mTo = DecodeIdentity(*aTable.to()),
                      .mSequence = aTable.sequence(),
                      .mWorkspace = workspace_id{ aTable.workspace()->str() },
                      .mSlot = slot_id{ aTable.slot() },
                      .mResult = DecodeResult(aTable.result()),
                      .mClaim = log_offset{ aTable.claim() },
                      .mLoan = loan_id{ aTable.loan() },
                      .mTokens = aTable.tokens(),
                      .mLeft = aTable.left() };
}

budget_message
DecodeBudgetMessage(wire::TokenRefund const& aTable)
{
  return token_refund{ .mWorkspace = workspace_id{ aTable.workspace()->str() },
                       .mSlot = slot_id{ aTable.slot() },
                       .mClaim = log_offset{ aTable.claim() },
                       .mTokens = aTable.tokens() };
}

budget_message
DecodeBudgetMessage(wire::TokenReport const& aTable)
{
  token_report report{ .mWorkspace = workspace_id{ aTable.workspace()->str() },
                       .mSlot = slot_id{ aTable.slot() },
                       .mClaim = log_offset{ aTable.claim() } };
  for (wire::LoanSpend const* const spend : *aTable.spent())
    report.mSpent.push_back(
      { .mLoan = loan_id{ spend->loan() }, .mTokens = spend->tokens() });
  return report;
}

budget_message
DecodeBudgetMessage(wire::StandingProbe const& aTable)
{
  return quorum_probe{ .mFrom = DecodeIdentity(*aTable.from()),
                       .mSentAt = instant{ duration{ aTable.sent_at_ns() } } };
}

budget_message
DecodeBudgetMessage(wire::StandingWord const& aTable)
{
  quorum_answer answer{ .mFrom = DecodeIdentity(*aTable.from()),
                        .mTo = DecodeIdentity(*aTable.to()),
                        .mProbeSentAt =
                          instant{ duration{ aTable.probe_sent_at_ns() } },
                        .mFolded = log_offset{ aTable.folded() } };
  for (std::uint64_t const slot : *aTable.slots())
    answer.mSlots.emplace_back(slot);
  for (flatbuffers::String const* const instance : *aTable.silent())
    answer.mUnresponsive.emplace_back(instance->str());
  return answer;
}

}
