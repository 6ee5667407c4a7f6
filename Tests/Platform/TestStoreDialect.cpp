#include <LibCore/InvalidInput.h>

#include <gtest/gtest.h>
#include <platform/StoreDialect.h>
#include <rapidcheck.h>

namespace lycheeseam::platform {

namespace {

constexpr std::string_view kConfigText = R"({
  "version": 7,
  "routes": [
    {"name": "r1", "host": "h", "path_prefix": "/a/", "kind": "stream",
     "timeout_ms": 6000, "target_latency_ms": 800, "priority": 1,
     "traffic_split": [{"service": "p", "weight": 90},
                       {"service": "q", "weight": 10}],
     "max_attempts": 2, "public": false, "sticky": true, "resumable": true},
    {"name": "r2", "host": "h", "path_prefix": "/b/", "kind": "odd",
     "timeout_ms": 600.0, "service": "p"}],
  "services": [
    {"name": "p", "max_conns": 360, "engine": {"slots": 64,
     "kv_tokens": 104044, "models": [{"name": "m"}]}},
    {"name": "k", "kv_store_addr": "172.20.0.2:8604", "zone": "z"}],
  "limits": {"max_header_bytes": 100, "max_body_bytes": 200,
             "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
  "tenants": [{"name": "t", "api_keys": ["k1"], "priority": 1,
               "unit": "tokens", "plain_tokens": 200, "isolated": true,
               "rate_per_s": 126, "burst": 127}]})";

constexpr std::string_view kServerEntry = R"({
  "service": "p", "addr": "10.0.0.9:8080", "zone": "z", "version": "v1",
  "slots": 64, "state": "ready", "cold_left_ms": 0, "stage": "unified",
  "models": [{"name": "m", "version": 3, "adapters": []}], "seq": 4,
  "born": 1777431616036})";

std::string
WithReplacement(std::string_view aText,
                std::string_view aFrom,
                std::string_view aTo)
{
  std::string text{ aText };
  text.replace(text.find(aFrom), aFrom.size(), aTo);
  return text;
}

std::shared_ptr<dispatch_config const>
ReadConfig(std::string_view aText)
{
  return std::get<std::shared_ptr<dispatch_config const>>(
    store_dialect::ReadOperatorRecord("config", aText));
}

TEST(TestStoreDialect, ConfigurationsAreRead)
{
  std::shared_ptr<dispatch_config const> const config = ReadConfig(kConfigText);
  EXPECT_EQ(config->Version(), 7U);
  dispatch_route const* const route = config->FindRoute("h", "/a/x");
  ASSERT_NE(route, nullptr);
  EXPECT_EQ(route->mKind, request_kind::Stream);
  EXPECT_TRUE(route->mIsResumable);
  EXPECT_EQ(route->mShares.size(), 2U);
  EXPECT_EQ(config->FindRoute("h", "/b/")->mTimeout,
            std::chrono::milliseconds{ 600 });
  // A route of an unknown kind counts as non-idempotent.
  EXPECT_EQ(config->FindRoute("h", "/b/")->mKind, request_kind::NonIdempotent);
  EXPECT_EQ(config->FindPool(pool_name{ "p" })->mEngine->mMemoryTokens, 104044);
  ASSERT_EQ(config->CacheStores().size(), 1U);
  EXPECT_EQ(config->CacheStores()[0].mAddress.Text(), "172.20.0.2:8604");
  EXPECT_EQ(config->Limits().mHeaderBytes, 100U);
  dispatch_workspace const* const workspace = config->FindWorkspace("k1");
  ASSERT_NE(workspace, nullptr);
  EXPECT_TRUE(workspace->mIsIsolated);
  EXPECT_EQ(workspace->mUnit, quota_unit::Tokens);
}

TEST(TestStoreDialect, MalformedConfigurationsAreRefused)
{
  for (std::string const& text :
       { WithReplacement(kConfigText, "\"version\": 7", "\"version\": \"7\""),
         WithReplacement(kConfigText, "\"host\": \"h\"", "\"host\": 5"),
         WithReplacement(kConfigText, "172.20.0.2:8604", "nowhere"),
         std::string{ "[]" },
         std::string{} })
    EXPECT_THROW(store_dialect::ReadOperatorRecord("config", text),
                 invalid_input);
}

TEST(TestStoreDialect, TargetWeightsAreRead)
{
  loaded_model const target =
    std::get<loaded_model>(store_dialect::ReadOperatorRecord(
      "version/m", R"({"model": "m", "version": 2})"));
  EXPECT_EQ(target.mVersion, 2U);
  EXPECT_TRUE(std::holds_alternative<std::monostate>(
    store_dialect::ReadOperatorRecord("else", "{}")));
}

TEST(TestStoreDialect, ServerEntriesAreRead)
{
  registered_server const server =
    store_dialect::ReadServer("i-1", kServerEntry);
  EXPECT_EQ(server.mIncarnation, incarnation{ 1777431616036 });
  EXPECT_EQ(server.mAddress.Text(), "10.0.0.9:8080");
  EXPECT_EQ(server.VersionOf(model_name{ "m" }), 3U);
  EXPECT_EQ(store_dialect::ReadServer(
              "i-1", WithReplacement(kServerEntry, "ready", "draining"))
              .mStage,
            server_stage::Leaving);
}

TEST(TestStoreDialect, MalformedServerEntriesAreRefused)
{
  for (std::string const& text :
       { WithReplacement(kServerEntry, "ready", "sleeping"),
         WithReplacement(kServerEntry, "\"slots\": 64", "\"slots\": \"64\""),
         WithReplacement(kServerEntry, "\"service\": \"p\",", ""),
         WithReplacement(kServerEntry, "10.0.0.9:8080", "10.0.0.9"),
         WithReplacement(kServerEntry, "\"version\": 3", "\"version\": -3"),
         std::string{ "\x01\x02" } })
    EXPECT_THROW(store_dialect::ReadServer("i-1", text), invalid_input);
  for (char const* const id : { "", "i 1", "i\r\n1", "i\xff" })
    EXPECT_THROW(store_dialect::ReadServer(id, kServerEntry), invalid_input);
}

TEST(TestStoreDialect, NumbersOutOfRangeAreRefused)
{
  for (std::string const& text :
       { WithReplacement(
           kServerEntry, "\"slots\": 64", "\"slots\": 4294967296"),
         WithReplacement(kServerEntry, "\"seq\": 4", "\"seq\": 1e300"),
         WithReplacement(kServerEntry, "1777431616036", "1e16"),
         WithReplacement(kServerEntry, "1777431616036", "-1.0") })
    EXPECT_THROW(store_dialect::ReadServer("i-1", text), invalid_input);
  EXPECT_EQ(
    store_dialect::ReadServer(
      "i-1", WithReplacement(kServerEntry, "\"seq\": 4", "\"seq\": 4.0"))
      .mEntries,
    4U);
}

TEST(TestStoreDialect, ArbitraryBytesAreReadOrRefused)
{
  EXPECT_TRUE(rc::check([](std::string const& aBytes) {
    auto const read = [&aBytes](auto aReader) {
      try {
        aReader(aBytes);
      } catch (invalid_input const&) {
      }
    };
    read([](std::string_view aText) { store_dialect::ReadNewest(aText, {}); });
    read([](std::string_view aText) { store_dialect::ReadRecords(aText, {}); });
    read([](std::string_view aText) { store_dialect::ReadServer("s", aText); });
    read([](std::string_view aText) { store_dialect::ReadReport(aText); });
    read([](std::string_view aText) {
      store_dialect::ReadOperatorRecord("config", aText);
    });
    read(
      [](std::string_view aText) { store_dialect::ReadInstance("i", aText); });
  }));
}

// Changes one character of a valid document: arbitrary bytes hardly ever get
// past the JSON parser to the checks of single fields.
TEST(TestStoreDialect, DocumentsWithOneChangedCharacterAreReadOrRefused)
{
  EXPECT_TRUE(rc::check([]() {
    std::string text{ *rc::gen::element(kConfigText, kServerEntry) };
    std::size_t const at = *rc::gen::inRange<std::size_t>(0, text.size());
    text[at] = *rc::gen::arbitrary<char>();
    try {
      store_dialect::ReadOperatorRecord("config", text);
    } catch (invalid_input const&) {
    }
    try {
      store_dialect::ReadServer("s", text);
    } catch (invalid_input const&) {
    }
  }));
}

TEST(TestStoreDialect, FormattedRecordsAreReadBackUnchanged)
{
  std::string bytes(16, '\0');
  bytes[7] = 5;
  bytes += store_dialect::FormatRecord({ .mKey = "a", .mValue = "value" });
  bytes += store_dialect::FormatRecord({ .mKey = "b" });
  topic_page const page =
    store_dialect::ReadRecords(bytes, { store_era{ 2 }, 3 });
  EXPECT_EQ(page.mEnd, store_position(store_era{ 2 }, 5));
  ASSERT_EQ(page.mRecords.size(), 2U);
  EXPECT_EQ(page.mRecords[0].mPosition, store_position(store_era{ 2 }, 3));
  EXPECT_EQ(page.mRecords[0].mValue, "value");
  EXPECT_FALSE(page.mRecords[1].mValue);
  EXPECT_THROW(store_dialect::ReadRecords(bytes.substr(0, 20), {}),
               invalid_input);
}

TEST(TestStoreDialect, AppendResultsFollowStatusAndVerdict)
{
  http_exchange_result result;
  EXPECT_EQ(store_dialect::ReadAppend(result).mStatus,
            store_append_status::Refused);
  result.mVerdict = verdict::MayHaveRun;
  EXPECT_EQ(store_dialect::ReadAppend(result).mStatus,
            store_append_status::Unknown);
  result.mHead.mStatus = 412;
  EXPECT_EQ(store_dialect::ReadAppend(result).mStatus,
            store_append_status::Conflict);
  result.mHead.mStatus = 200;
  result.mBody = R"({"offset": 840, "end": 842})";
  EXPECT_EQ(store_dialect::ReadAppend(result).mPosition,
            store_position(store_era{}, 840));
  result.mHead.mFields = { { "store-era", "3" } };
  EXPECT_EQ(store_dialect::ReadAppend(result).mPosition,
            store_position(store_era{ 3 }, 840));
  // A number that can't be an era says nothing about where the record is.
  for (char const* const era : { "", "x", "-1", "8192" }) {
    result.mHead.mFields = { { "Store-Era", era } };
    EXPECT_EQ(store_dialect::ReadAppend(result).mStatus,
              store_append_status::Unknown)
      << era;
  }
}

TEST(TestStoreDialect, FormattedSoftwareIsReadBackUnchanged)
{
  std::vector<pool_software> const used{
    { pool_name{ "p" }, software_version{ "v1" } },
    { pool_name{ "p" }, software_version{ "v2" } }
  };
  EXPECT_EQ(store_dialect::ReadSoftware(store_dialect::FormatSoftware(used)),
            used);
  std::vector<stream_origin> const origins{ { 7, software_version{ "v1" } },
                                            { 0xFFFF'FFFF'FFFF'FFFF,
                                              software_version{ "v2" } } };
  EXPECT_EQ(store_dialect::ReadOrigins(store_dialect::FormatOrigins(origins)),
            origins);
  for (char const* const text :
       { "", "{}", R"({"used": [{}]})", R"({"streams": {"v": [-1]}})" }) {
    EXPECT_THROW(store_dialect::ReadSoftware(text), invalid_input) << text;
    EXPECT_THROW(store_dialect::ReadOrigins(text), invalid_input) << text;
  }
}

TEST(TestStoreDialect, FormattedUsageIsReadBackUnchanged)
{
  quota_usage const usage = store_dialect::ReadUsage(
    store_dialect::FormatUsage({ .mWrittenAt = std::chrono::milliseconds{ 7 },
                                 .mEra = store_era{ 3 },
                                 .mUsed = { { workspace_id{ "w" }, 1.5 } } }));
  EXPECT_EQ(usage.mWrittenAt, std::chrono::milliseconds{ 7 });
  EXPECT_EQ(usage.mEra, store_era{ 3 });
  ASSERT_EQ(usage.mUsed.size(), 1U);
  EXPECT_EQ(usage.mUsed[0].mUnits, 1.5);
  EXPECT_THROW(store_dialect::ReadUsage("{}"), invalid_input);
  // Older builds write no era.
  EXPECT_EQ(
    store_dialect::ReadUsage(R"({"written_at_ms": 7, "used": {}})").mEra,
    std::nullopt);
}

TEST(TestStoreDialect, OrdersCarryFenceAndExpectedOrders)
{
  weights_order const order{ .mServer = backend_server_id{ "i-1" },
                             .mModel = model_name{ "m" },
                             .mVersion = 2,
                             .mHolder = instance_id{ "n" },
                             .mFence = 41,
                             .mExpectedOrders = 3 };
  EXPECT_EQ(store_dialect::FormatOrder(order),
            R"({"expect":3,"fence":41,"holder":"n","mode":"retain",)"
            R"("model":"m","op":"version","version":2})");
  EXPECT_EQ(store_dialect::OrderRequest(order).mTarget, "/api/order");
}

}

}
