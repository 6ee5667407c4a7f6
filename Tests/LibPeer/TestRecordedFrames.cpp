#include <LibPeer/FrameHeader.h>
#include <LibPeer/PeerCodec.h>

#include <PeerMessage_generated.h>
#include <gtest/gtest.h>

#include <charconv>
#include <chrono>
#include <string_view>
#include <vector>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;

// What the encoder of revision 838db05, which knows no loads, made of the
// report below.
constexpr std::string_view kRecorded =
  "140000004c53504d0000000008000c0007000800080000000000001228000000240048"
  "000500340008000c001000140018001c0020003c002400280006002c00300007002400"
  "000000020101dc010000a4010000380000004c00000050000000540000006401000054"
  "00000054000000580000008800000005000000000000000c0000000002000000000000"
  "01000000090000000000000002000000000000000000000001000000f4000000010000"
  "00a800000001000000840000000000000001000000a8000000010000000c0000000800"
  "0c000400080008000000080000000c0000000200000076310000010000000400000000"
  "00000000000000010000001000000000000a001000040008000c000a0000000c000000"
  "10000000320000000100000070000000020000007631000000000a0014000c00080007"
  "000a000000000000010c00000008000000000000000100000073000000010000007300"
  "00000c001c0004000c00140008000c0000001800000028000000030000000000000000"
  "0000000000044001000000730000000c001c0004000c00080014000c00000018000000"
  "1c000000030000000000000004000000000000000100000073000000010000006d0000"
  "00010000000c0000000800140004000800080000001000000000000000000004400000"
  "00000100000077000000010000001000000000000a0018000400080010000a00000014"
  "000000000000000000f83f000000000000004001000000770000000100000072000000";

fleet_report
RecordedReport()
{
  backend_server_id const server{ "s" };
  return { .mScope = report_scope::Rest,
           .mLease = 5,
           .mReader = instance_id{ "r" },
           .mSpent = { { workspace_id{ "w" }, 1.5, 2.0 } },
           .mCrashes = { { .mFingerprint = 9, .mCount = 2 } },
           .mWeights = { { .mServer = server,
                           .mIncarnation = incarnation{ 3 },
                           .mModel = model_name{ "m" },
                           .mVersion = 4 } },
           .mLimits = { { .mServer = { server, incarnation{ 3 } },
                          .mRequestsPerSecond = 2.5,
                          .mAge = milliseconds{ 40 } } },
           .mUpdating = { server },
           .mHolders = { { .mKey = 8, .mServer = server, .mIsStored = true } },
           .mUsed = { { workspace_id{ "w" }, 2.5 } },
           .mOperatorsEnd = { store_era{ 2 }, 12 },
           .mHasParent = true,
           .mOrigins = { { 4, software_version{ "v1" } } },
           .mSoftware = { { .mSoftware = { pool_name{ "p" },
                                           software_version{ "v1" } },
                            .mAge = milliseconds{ 50 } } },
           .mIsSoftwareComplete = true };
}

std::vector<std::uint8_t>
BytesOf(std::string_view aHex)
{
  constexpr int kHexBase = 16;
  std::vector<std::uint8_t> bytes;
  for (std::size_t at = 0; at + 1 < aHex.size(); at += 2) {
    std::uint8_t byte = 0;
    std::from_chars(aHex.data() + at, aHex.data() + at + 2, byte, kHexBase);
    bytes.push_back(byte);
  }
  return bytes;
}

std::vector<std::uint8_t>
Encode(fleet_report const& aReport)
{
  encoded_frame const frame = EncodePeerMessage(fleet_message{ aReport });
  return { frame->begin() + kFrameHeaderBytes, frame->end() };
}

// A report with a field far behind those that the schema has, as a later build
// may send it.
std::vector<std::uint8_t>
EncodeWithUnknownField()
{
  constexpr flatbuffers::voffset_t kUnknownField =
    wire::FleetReport::VT_LOADS + 40;
  flatbuffers::FlatBufferBuilder builder;
  auto const reader = builder.CreateString("r");
  auto const units =
    builder.CreateVector<flatbuffers::Offset<wire::SpentUnits>>({});
  auto const crashes =
    builder.CreateVectorOfStructs(std::vector<wire::CrashCount>{});
  auto const weights =
    builder.CreateVector<flatbuffers::Offset<wire::SeenWeights>>({});
  auto const updating =
    builder.CreateVector<flatbuffers::Offset<flatbuffers::String>>({});
  auto const holders =
    builder.CreateVector<flatbuffers::Offset<wire::PrefixHolder>>({});
  auto const unknown = builder.CreateString("unknown");
  wire::FleetReportBuilder report{ builder };
  report.add_lease(5);
  report.add_reader(reader);
  report.add_spent(units);
  report.add_crashes(crashes);
  report.add_weights(weights);
  report.add_turning(updating);
  report.add_holders(holders);
  report.add_used(units);
  builder.AddOffset(kUnknownField, unknown);
  wire::FinishEnvelopeBuffer(builder,
                             wire::CreateEnvelope(builder,
                                                  wire::Body::FleetReport,
                                                  report.Finish().Union()));
  return { builder.GetBufferPointer(),
           builder.GetBufferPointer() + builder.GetSize() };
}

// Guards against an upgrade in which instances ignore the reports of older
// builds.
TEST(TestRecordedFrames, ReportsOfAnOlderBuildAreRead)
{
  std::vector<std::uint8_t> const bytes = BytesOf(kRecorded);
  EXPECT_EQ(DecodePeerMessage(bytes),
            peer_message{ fleet_message{ RecordedReport() } });
}

// Guards against an upgrade in which instances ignore the reports of newer
// builds.
TEST(TestRecordedFrames, UnknownFieldsAreSkipped)
{
  EXPECT_EQ(DecodePeerMessage(EncodeWithUnknownField()),
            (peer_message{ fleet_message{
              fleet_report{ .mLease = 5, .mReader = instance_id{ "r" } } } }));
}

// Guards against larger reports where servers state no slowdown.
TEST(TestRecordedFrames, ReportsWithoutLoadsHaveNoFieldForThem)
{
  std::vector<std::uint8_t> const bytes = Encode(RecordedReport());
  wire::Envelope const& envelope = *wire::GetEnvelope(bytes.data());
  EXPECT_EQ(envelope.body_as_FleetReport()->loads(), nullptr);
}

// Guards against loads that fill the links of small instances.
TEST(TestRecordedFrames, ALoadTakesSixteenBytes)
{
  fleet_report report = RecordedReport();
  report.mLoads.assign(10, { .mServer = 7 });
  std::size_t const few = Encode(report).size();
  report.mLoads.assign(100, { .mServer = 7 });
  EXPECT_EQ(Encode(report).size() - few, 90U * 16U);
}

// Guards against a slowdown by which work would be divided by zero.
TEST(TestRecordedFrames, LoadsWithoutASlowdownAreSkipped)
{
  fleet_report report;
  report.mLoads = { { .mServer = 1, .mSlowdownPercent = 0 },
                    { .mServer = 2, .mSlowdownPercent = 250 } };
  std::optional<peer_message> const decoded = DecodePeerMessage(Encode(report));
  report.mLoads.erase(report.mLoads.begin());
  EXPECT_EQ(decoded, peer_message{ fleet_message{ report } });
}

}
}
