#include <LibPeer/FrameHeader.h>
#include <LibPeer/PeerCodec.h>

#include <Tests/Support/MutateBytes.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <random>
#include <string>
#include <vector>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;

std::vector<peer_message>
OneOfEachLinkMessage()
{
  digest const hash = digest::Of("x");
  return {
    peer_hello{ .mIdentity = { .mInstance = instance_id{ "entry-1" },
                               .mIncarnation = incarnation{ 7 } },
                .mFailureDomain = failure_domain{ "riga-2" },
                .mCallers = endpoint::Parse("10.0.0.1:8080"),
                .mPeers = endpoint::Parse("[::1]:8082") },
    peer_heartbeat{
      .mAnswer = heartbeat_answer::Wanted,
      .mIsLeaving = true,
      .mSentAt = instant{} + milliseconds{ 3 },
      .mEcho = instant{} + milliseconds{ 2 },
      .mApplied = log_offset{ 5 },
      .mTail = tail_observation{ .mTail = log_offset{ 6 },
                                 .mAge = milliseconds{ 70 } },
      .mDomains = { { .mDomain = DomainCode(failure_domain{ "riga-1" }),
                      .mAge = milliseconds{ 8 } } } },
    peer_heartbeat{},
    snapshot_request{ .mNumber = snapshot_number{ 3 } },
    snapshot_answer{ .mNumber = snapshot_number{ 3 },
                     .mOffset = log_offset{ 9 },
                     .mState = std::string(100000, 's') },
    log_relay{ .mEntries = { { .mOffset = log_offset{ 1 }, .mRecord = "a" },
                             { .mOffset = log_offset{ 2 }, .mRecord = "" } } },
    log_relay{},
    key_withdrawal{ .mKey = hash, .mOffset = log_offset{ 4 } },
    poison_notice{ .mFingerprint = hash,
                   .mServer = backend_server_id{ "w1" },
                   .mIncarnation = incarnation{ 2 },
                   .mExpiresAfter = milliseconds{ 60000 } },
    drain_notice{ .mAcceptsFor = milliseconds{ 10000 } },
  };
}

std::vector<budget_message>
OneOfEachBudgetMessage()
{
  instance_identity const identity{ .mInstance = instance_id{ "entry-1" },
                                    .mIncarnation = incarnation{ 7 } };
  return {
    token_request{ .mFrom = identity,
                   .mSequence = 1,
                   .mWorkspace = workspace_id{ "w" },
                   .mSlot = slot_id{ 2 },
                   .mWanted = 300,
                   .mMaxQueueTime = milliseconds{ 40 } },
    token_grant{ .mTo = identity,
                 .mSequence = 1,
                 .mWorkspace = workspace_id{ "w" },
                 .mSlot = slot_id{ 2 },
                 .mResult = grant_result::Lent,
                 .mClaim = log_offset{ 3 },
                 .mLoan = loan_id{ 4 },
                 .mTokens = 300,
                 .mLeft = -5 },
    token_refund{ .mWorkspace = workspace_id{ "w" },
                  .mSlot = slot_id{ 2 },
                  .mClaim = log_offset{ 3 },
                  .mTokens = 6 },
    token_report{ .mWorkspace = workspace_id{ "w" },
                  .mSlot = slot_id{ 2 },
                  .mClaim = log_offset{ 3 },
                  .mSpent = { { .mLoan = loan_id{ 4 }, .mTokens = 5 } } },
    quorum_probe{ .mFrom = identity, .mSentAt = instant{} + milliseconds{ 9 } },
    quorum_answer{ .mFrom = identity,
                   .mTo = identity,
                   .mProbeSentAt = instant{} + milliseconds{ 9 },
                   .mSlots = { slot_id{ 1 }, slot_id{ 2 } },
                   .mFolded = log_offset{ 8 },
                   .mUnresponsive = { instance_id{ "entry-2" } } },
  };
}

std::vector<block_message>
OneOfEachBlockMessage()
{
  std::vector<block_hash> const blocks{ block_hash{ 1 }, block_hash{ 2 } };
  known_prefix const known{ .mServer = backend_server_id{ "w1" },
                            .mIncarnation = incarnation{ 2 },
                            .mTokens = 4096 };
  return {
    block_lookup{ .mNumber = lookup_number{ 1 },
                  .mPool = pool_name{ "p" },
                  .mBlocks = blocks },
    block_answer{
      .mNumber = lookup_number{ 1 }, .mKnown = { known }, .mStoredTokens = 8 },
    block_update{ .mServer = known.mServer,
                  .mIncarnation = known.mIncarnation,
                  .mBlocks = blocks,
                  .mCachedTokens = 0 },
    block_update{ .mServer = known.mServer },
  };
}

fleet_report
ReportWithAllFields()
{
  backend_server_id const server{ "s" };
  return { .mScope = report_scope::Rest,
           .mLease = 5,
           .mReader = instance_id{ "r" },
           .mSpent = { { workspace_id{ "w" }, 1.5, 2.0 } },
           .mCrashes = { { .mFingerprint = 9, .mCount = 2 } },
           .mPartCrashes = { { .mPart = 7,
                               .mClearances = 1,
                               .mCrashes = 3,
                               .mCommonParts = { 7, 8 } } },
           .mWeights = { { .mServer = server,
                           .mIncarnation = incarnation{ 3 },
                           .mModel = model_name{ "m" },
                           .mVersion = 4 } },
           .mLimits = { { .mServer = { server, incarnation{ 3 } },
                          .mRequestsPerSecond = 2.5,
                          .mAge = milliseconds{ 40 } },
                        { .mServer = { server, incarnation{ 4 } } } },
           .mUpdating = { server },
           .mHolders = { { .mKey = 8, .mServer = server, .mIsStored = true } },
           .mUsed = { { workspace_id{ "w" }, 2.5 } },
           .mOperatorsEnd = { store_era{ 2 }, 12 },
           .mHasParent = true,
           .mOrigins = { { 4, software_version{ "v1" } },
                         { 6, software_version{ "v2" } } },
           .mSoftware = { { .mSoftware = { pool_name{ "p" },
                                           software_version{ "v1" } },
                            .mAge = milliseconds{ 50 } } },
           .mIsSoftwareComplete = true,
           .mLoads = { { .mServer = 0xfedcba9876543210,
                         .mRunning = 65'535,
                         .mWaiting = 3,
                         .mSlowdownPercent = 250,
                         .mAgeMs = 40 },
                       { .mServer = 2 } },
           .mSpreadsRelays = true,
           .mServersEnd = { store_era{ 2 }, 30 },
           .mRollouts = { { .mLease = 9,
                            .mState = { .mOrder = { .mPool = pool_name{ "p" },
                                                    .mTarget =
                                                      software_version{ "v2" },
                                                    .mDuration =
                                                      milliseconds{ 12'000 },
                                                    .mNumber = 5 },
                                        .mPhase = rollout_phase::Ramping,
                                        .mShare = 0.25 } } },
           .mRolloutSamples = { { .mOrder = 5,
                                  .mRoute = route_name{ "r" },
                                  .mAnswers = 7 } },
           .mDrained = { { .mOrder = 5, .mRevision = 7 } } };
}

std::vector<fleet_message>
OneOfEachFleetMessage()
{
  fleet_report const report = ReportWithAllFields();
  topic_relay const relay{ .mTopic = store_topic::Servers,
                           .mIsSnapshot = true,
                           .mFrom = { store_era{ 2 }, 3 },
                           .mEnd = { store_era{ 2 }, 5 },
                           .mCompleteFrom = store_position{ store_era{ 2 }, 1 },
                           .mRecords = { { .mPosition = { store_era{ 2 }, 3 },
                                           .mKey = "a",
                                           .mValue = "bytes" },
                                         { .mPosition = { store_era{ 2 }, 4 },
                                           .mKey = "b" } } };
  peer_hello const hello{ .mIdentity = { .mInstance = instance_id{ "entry-2" },
                                         .mIncarnation = incarnation{ 8 } },
                          .mFailureDomain = failure_domain{ "riga-2" },
                          .mCallers = endpoint::Parse("10.0.0.2:8080"),
                          .mPeers = endpoint::Parse("10.0.0.2:8082"),
                          .mCapacity = 250 };
  fleet_roster const roster{ .mEntries = {
                               { .mHello = hello, .mIsReady = true },
                               { .mHello = hello, .mIsLeaving = true } } };
  return { report, fleet_report{}, relay, roster, fleet_roster{} };
}

std::vector<peer_message>
OneOfEach()
{
  std::vector<peer_message> messages = OneOfEachLinkMessage();
  for (budget_message const& message : OneOfEachBudgetMessage())
    messages.emplace_back(message);
  for (block_message const& message : OneOfEachBlockMessage())
    messages.emplace_back(message);
  for (fleet_message const& message : OneOfEachFleetMessage())
    messages.emplace_back(message);
  return messages;
}

std::span<std::uint8_t const>
ContentOf(encoded_frame const& aFrame)
{
  return std::span{ *aFrame }.subspan(kFrameHeaderBytes);
}

TEST(TestPeerCodec, EachMessageDecodesToWhatWasEncoded)
{
  for (peer_message const& message : OneOfEach()) {
    encoded_frame const frame = EncodePeerMessage(message);
    EXPECT_EQ(DecodePeerMessage(ContentOf(frame)), message)
      << "kind " << message.index();
  }
}

TEST(TestPeerCodec, SamplesCoverEveryMessageType)
{
  std::set<std::size_t> kinds;
  for (peer_message const& message : OneOfEachLinkMessage())
    kinds.insert(message.index());
  constexpr std::size_t kNestedVariants = 3;
  EXPECT_EQ(kinds.size(), std::variant_size_v<peer_message> - kNestedVariants);
  kinds.clear();
  for (budget_message const& message : OneOfEachBudgetMessage())
    kinds.insert(message.index());
  EXPECT_EQ(kinds.size(), std::variant_size_v<budget_message>);
  kinds.clear();
  for (block_message const& message : OneOfEachBlockMessage())
    kinds.insert(message.index());
  EXPECT_EQ(kinds.size(), std::variant_size_v<block_message>);
  kinds.clear();
  for (fleet_message const& message : OneOfEachFleetMessage())
    kinds.insert(message.index());
  EXPECT_EQ(kinds.size(), std::variant_size_v<fleet_message>);
}

// Guards against a damaged frame that ends the process: a few changed bytes
// pass more checks than random ones.
TEST(TestPeerCodec, MutatedMessagesDecodeOrAreRefused)
{
  constexpr int kInputsPerMessage = 2'000;
  std::minstd_rand random{ 20261204 };
  for (peer_message const& message : OneOfEach()) {
    encoded_frame const frame = EncodePeerMessage(message);
    std::span<std::uint8_t const> const content = ContentOf(frame);
    constexpr std::size_t kMostBytes = 4'096;
    if (content.size() > kMostBytes)
      continue;
    for (int input = 0; input < kInputsPerMessage; ++input) {
      std::string const mutated =
        MutateBytes({ content.begin(), content.end() }, random);
      std::vector<std::uint8_t> const bytes{ mutated.begin(), mutated.end() };
      EXPECT_NO_THROW(DecodePeerMessage(bytes));
    }
  }
}

TEST(TestPeerCodec, ArbitraryBytesDecodeOrAreRefused)
{
  EXPECT_TRUE(rc::check([](std::vector<std::uint8_t> const& aBytes) {
    DecodePeerMessage(aBytes);
  }));
}

// Arbitrary bytes mostly fail at the first check. A valid message with a few
// bytes changed reaches the later checks too.
TEST(TestPeerCodec, CorruptedMessagesDecodeOrAreRefused)
{
  std::vector<peer_message> const messages = OneOfEach();
  EXPECT_TRUE(rc::check([&messages]() {
    peer_message const& message = *rc::gen::elementOf(messages);
    encoded_frame const frame = EncodePeerMessage(message);
    std::span<std::uint8_t const> const content = ContentOf(frame);
    std::vector<std::uint8_t> changed{ content.begin(), content.end() };
    int const changes = *rc::gen::inRange(1, 6);
    for (int i = 0; i < changes; ++i)
      changed[*rc::gen::inRange<std::size_t>(0, changed.size())] =
        *rc::gen::arbitrary<std::uint8_t>();
    changed.resize(*rc::gen::inRange<std::size_t>(0, changed.size() + 1));
    DecodePeerMessage(changed);
  }));
}

TEST(TestPeerCodec, RefusesAHelloWithAHostNameForAnAddress)
{
  peer_hello hello = std::get<peer_hello>(OneOfEach().front());
  hello.mPeers.mAddress = "localhost";
  encoded_frame const frame = EncodePeerMessage(hello);
  EXPECT_FALSE(DecodePeerMessage(ContentOf(frame)).has_value());
}

}
}
