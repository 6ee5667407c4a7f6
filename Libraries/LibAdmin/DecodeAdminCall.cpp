#include <LibAdmin/DecodeAdminCall.h>
#include <LibCore/InvalidInput.h>

#include <charconv>

namespace lycheeseam {

namespace {

using Pistache::Http::Method;
using Pistache::Http::Request;

admin_verb
VerbOf(Method aMethod)
{
  switch (aMethod) {
    case Method::Get:
      return admin_verb::Read;
    case Method::Put:
      return admin_verb::Write;
    case Method::Delete:
      return admin_verb::Delete;
    case Method::Post:
      return admin_verb::Run;
    default:
      throw invalid_input("the HTTP method is not GET, PUT, DELETE or POST");
  }
}

std::optional<row_version>
ReadIfMatch(Request const& aRequest)
{
  std::optional<Pistache::Http::Header::Raw> const raw =
    aRequest.headers().tryGetRaw("If-Match");
  if (!raw)
    return std::nullopt;
  std::string text = raw->value();
  std::erase(text, '"');
  std::uint64_t version = 0;
  char const* const end = text.data() + text.size();
  std::from_chars_result const parsed =
    std::from_chars(text.data(), end, version);
  if (parsed.ec != std::errc{} || parsed.ptr != end)
    throw invalid_input("If-Match is not a row version (a whole number)");
  return row_version{ version };
}

// Parses "/v1/RESOURCE", "/v1/RESOURCE/NAME" or "/metrics".
void
ParsePath(std::string_view aPath, admin_call& aCall)
{
  static constexpr std::string_view kPrefix = "/v1/";
  if (aPath == "/metrics") {
    aCall.mResource = "metrics";
    return;
  }
  if (!aPath.starts_with(kPrefix))
    throw invalid_input(
      "the path does not begin with /v1/ and is not /metrics");
  aPath.remove_prefix(kPrefix.size());
  std::size_t const slash = aPath.find('/');
  aCall.mResource = aPath.substr(0, slash);
  if (slash != std::string_view::npos)
    aCall.mName = aPath.substr(slash + 1);
}

}

admin_call
DecodeAdminCall(Request const& aRequest, std::string aOperator)
{
  admin_call call{ .mOperator = std::move(aOperator),
                   .mVerb = VerbOf(aRequest.method()),
                   .mBase = ReadIfMatch(aRequest),
                   .mBody = aRequest.body() };
  ParsePath(aRequest.resource(), call);
  if (aRequest.query().get("dry_run").value_or("false") == "true")
    call.mMode = apply_mode::DryRun;
  return call;
}

}
