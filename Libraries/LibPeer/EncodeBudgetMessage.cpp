#include <LibPeer/EncodeBudgetMessage.h>

#include <string>
#include <vector>

namespace lycheeseam {

namespace {

wire::GrantResult
EncodeResult(grant_result aResult)
{
  switch (aResult) {
    case grant_result::Lent:
      return wire::GrantResult::Lent;
    case grant_result::Queued:
      return wire::GrantResult::Queued;
    case grant_result::Short:
      return wire::GrantResult::Short;
    case grant_result::Withheld:
      return wire::GrantResult::Withheld;
    case grant_result::NotHolder:
      break;
  }
  return wire::GrantResult::NotHolder;
}

// Builds the table of each kind of message.
class budget_encoder
{
public:
  explicit budget_encoder(flatbuffers::FlatBufferBuilder& aBuilder)
    : mBuilder(aBuilder)
  {
  }

  encoded_body operator()(token_request const& aRequest)
  {
    return MakeBody(wire::Body::TokenRequest,
                    wire::CreateTokenRequest(mBuilder,
                                             Identity(aRequest.mFrom),
                                             aRequest.mSequence,
                                             Text(aRequest.mWorkspace.Text()),
                                             aRequest.mSlot.Value(),
                                             aRequest.mWanted,
                                             aRequest.mMaxQueueTime.count()));
  }

  encoded_body operator()(token_grant const& aGrant)
  {
    return MakeBody(wire::Body::TokenGrant,
                    wire::CreateTokenGrant(mBuilder,
                                           Identity(aGrant.mTo),
                                           aGrant.mSequence,
                                           Text(aGrant.mWorkspace.Text()),
                                           aGrant.mSlot.Value(),
                                           EncodeResult(aGrant.mResult),
                                           aGrant.mClaim.Value(),
                                           aGrant.mLoan.Value(),
                                           aGrant.mTokens,
                                           aGrant.mLeft));
  }

  encoded_body operator()(token_refund const& aRefund)
  {
    return MakeBody(wire::Body::TokenRefund,
                    wire::CreateTokenRefund(mBuilder,
                                            Text(aRefund.mWorkspace.Text()),
                                            aRefund.mSlot.Value(),
                                            aRefund.mClaim.Value(),
                                            aRefund.mTokens));
  }

  encoded_body operator()(token_report const& aReport)
  {
    std::vector<wire::LoanSpend> spent;
    for (loan_spend const& spend : aReport.mSpent)
      spent.emplace_back(spend.mLoan.Value(), spend.mTokens);
    return MakeBody(
      wire::Body::TokenReport,
      wire::CreateTokenReport(mBuilder,
                              Text(aReport.mWorkspace.Text()),
                              aReport.mSlot.Value(),
                              aReport.mClaim.Value(),
                              mBuilder.CreateVectorOfStructs(spent)));
  }

  encoded_body operator()(quorum_probe const& aProbe)
  {
    return MakeBody(
      wire::Body::StandingProbe,
      wire::CreateStandingProbe(mBuilder,
                                Identity(aProbe.mFrom),
                                aProbe.mSentAt.time_since_epoch().count()));
  }

  encoded_body operator()(quorum_answer const& aAnswer)
  {
    std::vector<std::uint64_t> slots;
    for (slot_id const slot : aAnswer.mSlots)
      slots.push_back(slot.Value());
    std::vector<std::string> unresponsive;
    for (instance_id const& instance : aAnswer.mUnresponsive)
      unresponsive.push_back(instance.Text());
    return MakeBody(
      wire::Body::StandingWord,
      wire::CreateStandingWord(mBuilder,
                               Identity(aAnswer.mFrom),
                               Identity(aAnswer.mTo),
                               aAnswer.mProbeSentAt.time_since_epoch().count(),
                               mBuilder.CreateVector(slots),
                               aAnswer.mFolded.Value(),
                               mBuilder.CreateVectorOfStrings(unresponsive)));
  }

private:
  flatbuffers::Offset<flatbuffers::String> Text(std::string const& aText)
  {
    return mBuilder.CreateString(aText);
  }

  flatbuffers::Offset<wire::Life> Identity(instance_identity const& aIdentity)
  {
    return wire::CreateLife(mBuilder,
                            Text(aIdentity.mInstance.Text()),
                            aIdentity.mIncarnation.Value());
  }

  flatbuffers::FlatBufferBuilder& mBuilder;
};

}

encoded_body
EncodeBudgetMessage(flatbuffers::FlatBufferBuilder& aBuilder,
                    budget_message const& aMessage)
{
  return std::visit(budget_encoder{ aBuilder }, aMessage);
}

}
