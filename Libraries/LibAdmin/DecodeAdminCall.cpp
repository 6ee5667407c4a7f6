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
      throw invalid_input("the method is none of GET, PUT, DELETE and POST");
  }
}

std::optional<row_version>
BaseOf(Request const& aRequest)
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
    throw invalid_input("If-Match holds a row's version, a whole number");
  return row_version{ version };
}

// Takes "/v1/SUBJECT/NAME" or "/metrics" apart.
void
ReadPath(std::string_view aPath, admin_call& aCall)
{
  static constexpr std::string_view kPrefix = "/v1/";
  if (aPath == "/metrics") {
    aCall.mSubject = "metrics";
    return;
  }
  if (!aPath.starts_with(kPrefix))
    throw invalid_input("paths begin with /v1/, but for /metrics");
  aPath.remove_prefix(kPrefix.size());
  std::size_t const slash = aPath.find('/');
  aCall.mSubject = aPath.substr(0, slash);
  if (slash != std::string_view::npos)
    aCall.mName = aPath.substr(slash + 1);
}

}

admin_call
DecodeAdminCall(Request const& aRequest, std::string aOperator)
{
  admin_call call{ .mOperator = std::move(aOperator),
                   .mVerb = VerbOf(aRequest.method()),
                   .mBase = BaseOf(aRequest),
                   .mBody = aRequest.body() };
  ReadPath(aRequest.resource(), call);
  if (aRequest.query().get("dry_run").value_or("false") == "true")
    call.mMode = apply_mode::DryRun;
  return call;
}

}
