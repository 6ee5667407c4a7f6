#include <LibCodec/CodecError.h>
#include <LibCodec/RecordCodec.h>

#include <gtest/gtest.h>

namespace lycheeseam {
namespace {

record_origin
Origin()
{
  return { .mProposal = proposal_id{ "p-1" },
           .mInstance = instance_id{ "entry-1" },
           .mIncarnation = incarnation{ 7 },
           .mLastOffset = log_offset{ 90 } };
}

pool_row
Pool()
{
  return { .mName = pool_name{ "chat" },
           .mKind = pool_kind::Model,
           .mServers = { { .mId = backend_server_id{ "w1" },
                           .mAddress = endpoint::Parse("127.0.0.1:9000"),
                           .mFailureDomain = failure_domain{ "bkk-a" },
                           .mFencing = fencing_support::Checked } } };
}

void
ExpectRoundTrip(log_record const& aRecord)
{
  EXPECT_TRUE(DecodeRecord(EncodeRecord(aRecord)) == aRecord)
    << EncodeRecord(aRecord);
}

config_proposal
Proposal()
{
  route_row const route{ .mName = route_name{ "r" },
                         .mPathPrefix = "/v1",
                         .mPool = pool_name{ "chat" },
                         .mResume = stream_resume::OtherServer };
  key_row const key{ .mDigest = digest::Of("k"),
                     .mWorkspace = workspace_id{ "riga" } };
  return { .mOrigin = Origin(),
           .mOperator = "ops",
           .mChanges = {
             route_change{ route.mName, row_version{ 3 }, route },
             pool_change{ pool_name{ "chat" }, row_version{}, Pool() },
             key_change{ key.mDigest, row_version{}, key },
             workspace_change{ workspace_id{ "w" }, row_version{ 4 }, {} } } };
}

request_claim_batch
Claims()
{
  request_key const key{ workspace_id{ "riga" }, idempotency_key{ "b-1" } };
  return { Origin(), { { key, digest::Of("body"), claim_number{ 3 } } } };
}

request_outcome_batch
Outcomes()
{
  request_key const key{ workspace_id{ "riga" }, idempotency_key{ "b-1" } };
  // The body isn't UTF-8, and its length isn't a multiple of a base64 group.
  return {
    Origin(),
    { { key, claim_number{ 3 }, verdict::Ran, 201, "image/png", "\xff\x01z\n" },
      { key, claim_number{ 4 }, verdict::NotRun, 0, "", "" } }
  };
}

TEST(TestRecordCodec, RoundTripOfConfigProposal)
{
  ExpectRoundTrip(Proposal());
}

TEST(TestRecordCodec, RoundTripOfClaimsAndOutcomes)
{
  ExpectRoundTrip(Claims());
  ExpectRoundTrip(Outcomes());
  ExpectRoundTrip(slot_claim{ Origin(), slot_id{ 2 }, {} });
}

TEST(TestRecordCodec, RoundTripOfLeasesNoOperationsAndCheckpoints)
{
  ExpectRoundTrip(lease_grant{ Origin(),
                               pool_name{ "chat" },
                               log_offset{ 5 },
                               std::chrono::milliseconds{ 10 } });
  ExpectRoundTrip(no_operation{ Origin() });
  ExpectRoundTrip(checkpoint{ Origin(), log_offset{ 12 }, "{\"a\":1}" });
}

TEST(TestRecordCodec, RefusesUnknownRecordTypesAndMalformedText)
{
  EXPECT_THROW(DecodeRecord(R"({"novelty":{}})"), codec_error);
  EXPECT_THROW(DecodeRecord("[]"), codec_error);
  EXPECT_THROW(DecodeRecord("not json"), codec_error);
}

}
}
