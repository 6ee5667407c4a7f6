#include <LibCore/InvalidInput.h>
#include <LibDispatch/DispatchConfig.h>

#include <Tests/Support/MutateBytes.h>
#include <gtest/gtest.h>
#include <platform/ConfigDocument.h>
#include <platform/RequestDialect.h>
#include <platform/StoreDialect.h>

#include <functional>
#include <random>
#include <string>

namespace lycheeseam::platform {

namespace {

constexpr int kInputs = 20'000;

// Guards against one malformed message that ends a process: a decoder returns a
// value or throws invalid_input, whatever its bytes.
void
ExpectValueOrInvalidInput(std::string const& aSample,
                          std::function<void(std::string const&)> const& aRead)
{
  std::minstd_rand random{ 20261204 };
  aRead(aSample);
  for (int input = 0; input < kInputs; ++input) {
    std::string const mutated = MutateBytes(aSample, random);
    try {
      aRead(mutated);
    } catch (invalid_input const&) {
      // The error that callers of decoders handle.
    } catch (std::exception const& fault) {
      ADD_FAILURE() << fault.what() << " for " << mutated;
    }
  }
}

std::vector<header_field>
Fields(std::string const& aName, std::string const& aValue)
{
  return { { "Host", "h" }, { "Request-Id", "r1" }, { aName, aValue } };
}

TEST(TestMutatedInput, RequestFields)
{
  auto const read = [](std::string const& aName) {
    return [aName](std::string const& aValue) {
      request_properties const properties =
        request_dialect::ReadProperties({ .mMethod = "POST",
                                          .mTarget = "/a/",
                                          .mFields = Fields(aName, aValue) });
      // A charge is never negative: it would refund units that nobody used.
      EXPECT_GE(properties.mPromptTokens.value_or(0), 0);
      EXPECT_GE(properties.SharedTokens(), 0);
    };
  };
  ExpectValueOrInvalidInput("1460,80", read("Token-Counts"));
  ExpectValueOrInvalidInput("5c1e07a2:800,91bd3f06:410,e4:250",
                            read("Prompt-Prefix"));
  ExpectValueOrInvalidInput("6000", read("Deadline-Ms"));
  ExpectValueOrInvalidInput("12", read("Last-Event-Id"));
  ExpectValueOrInvalidInput("Bearer wu3fexd9dnn2ctnfzs98",
                            read("Authorization"));
}

TEST(TestMutatedInput, AnswerFields)
{
  auto const read = [](std::string const& aName) {
    return [aName](std::string const& aValue) {
      request_dialect::ReadAnswer(
        { .mStatus = 200, .mFields = Fields(aName, aValue) });
    };
  };
  ExpectValueOrInvalidInput("3,0,8", read("Server-Load"));
  ExpectValueOrInvalidInput("3,0,8,140,7", read("Server-Load"));
  ExpectValueOrInvalidInput("4", read("Weight-Versions"));
}

TEST(TestMutatedInput, ConfigDocuments)
{
  ExpectValueOrInvalidInput(
    R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/p/",)"
    R"("kind":"stream","timeout_ms":5000,"target_latency_ms":600,"priority":0,)"
    R"("traffic_split":[{"service":"a","weight":90},{"service":"b","weight":10}],)"
    R"("max_attempts":1,"public":false,"sticky":true,"resumable":false}],)"
    R"("services":[{"name":"a","max_conns":530,"engine":{"slots":12,)"
    R"("kv_tokens":94288,"models":[{"name":"m"}]}},)"
    R"({"name":"k","kv_store_addr":"172.20.0.5:8603"},)"
    R"({"name":"h","health_path":"/health"}],)"
    R"("tenants":[{"name":"t","api_keys":["k1"],"rate_per_s":10,"burst":20,)"
    R"("unit":"tokens","isolated":true}],)"
    R"("limits":{"max_header_bytes":16384,"idle_timeout_ms":15000}})",
    [](std::string const& aText) { ReadConfigDocument(aText); });
}

TEST(TestMutatedInput, StoreRecords)
{
  ExpectValueOrInvalidInput(
    R"({"service":"a","addr":"10.0.0.1:80","zone":"z","version":"v1","slots":8,)"
    R"("state":"ready","cold_left_ms":0,"seq":4,"born":1767443006038,)"
    R"("models":[{"name":"m","version":2}]})",
    [](std::string const& aText) { store_dialect::ReadServer("i-1", aText); });
  ExpectValueOrInvalidInput(
    R"({"model":"m","version":2})", [](std::string const& aText) {
      store_dialect::ReadOperatorRecord("version/m", aText);
    });
  ExpectValueOrInvalidInput(
    store_dialect::FormatUsage({ .mWrittenAt = std::chrono::milliseconds{ 7 },
                                 .mEra = store_era{ 3 },
                                 .mUsed = { { workspace_id{ "w" }, 1.5 } } }),
    [](std::string const& aText) { store_dialect::ReadUsage(aText); });
}

TEST(TestMutatedInput, StoreAnswers)
{
  ExpectValueOrInvalidInput(
    R"({"items":[{"key":"a","value":"YQ==","offset":3}],"more":false,"end":4})",
    [](std::string const& aText) { store_dialect::ReadNewest(aText, {}); });
  std::string records(16, '\0');
  records[7] = 5;
  records[15] = 3;
  records += std::string("\0\0\0\4\1kvv\0\0\0\2\1k", 14);
  ExpectValueOrInvalidInput(records, [](std::string const& aText) {
    store_dialect::ReadRecords(aText, { store_era{ 2 }, 3 });
  });
  ExpectValueOrInvalidInput(
    R"({"stage":"unified","models":[{"name":"m","version":1}],"busy":false,)"
    R"("seq":2,"waiting":1,"running":12,"kv_used":41000,"kv_total":90000})",
    [](std::string const& aText) { store_dialect::ReadReport(aText); });
}

}

}
