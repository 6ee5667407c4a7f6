#include "Verbs.h"
#include <LibCore/Digest.h>

#include <array>
#include <chrono>

namespace lycheeseam {

namespace {

using nlohmann::json;

http_call_options
Options(json const& aRequest)
{
  http_call_options options{ .mUrl = aRequest.at("url").get<std::string>() };
  if (aRequest.contains("body")) {
    json const& body = aRequest["body"];
    options.mBody = body.is_string() ? body.get<std::string>() : body.dump();
    options.mMethod = "POST";
  }
  options.mMethod = aRequest.value("method", options.mMethod);
  json const headers = aRequest.value("headers", json::object());
  for (auto const& header : headers.items())
    options.mHeaders.push_back(header.key() + ": " +
                               header.value().get<std::string>());
  std::int64_t const timeout =
    aRequest.value("timeout_ms", std::int64_t{ options.mTimeout.count() });
  options.mTimeout = std::chrono::milliseconds{ timeout };
  return options;
}

/// begin{url, method, headers, body, timeout_ms, connection}: sends a request
/// without waiting for the answer; returns the call's number.
json
Begin(scenario& aScenario, json const& aArguments)
{
  json const& request = aArguments.at(0);
  return aScenario.Begin(Options(request), request.value("connection", ""));
}

/// body_so_far(call): the bytes of the answer's body received so far.
json
BodySoFar(scenario& aScenario, json const& aArguments)
{
  return aScenario.Call(aArguments.at(0).get<std::uint64_t>()).BodySoFar();
}

/// drop(call): closes the caller's connection.
json
Drop(scenario& aScenario, json const& aArguments)
{
  aScenario.Call(aArguments.at(0).get<std::uint64_t>()).Drop();
  return nullptr;
}

/// finish(call): waits until the call has ended; returns the fields of
/// http_result.
json
Finish(scenario& aScenario, json const& aArguments)
{
  http_result const result =
    aScenario.Finish(aArguments.at(0).get<std::uint64_t>());
  return { { "status", result.mStatus },
           { "headers", result.mHeaders },
           { "body", result.mBody },
           { "error", result.mError },
           { "new_connections", result.mNewConnections },
           { "duration_ms", result.mDuration.count() } };
}

/// decode(text): a JSON text as a table; nil if it isn't one.
json
Decode(scenario&, json const& aArguments)
{
  json const value =
    json::parse(aArguments.at(0).get<std::string>(), nullptr, false);
  return value.is_discarded() ? json{} : value;
}

/// encode(table): a table as a JSON text.
json
Encode(scenario&, json const& aArguments)
{
  return aArguments.at(0).dump();
}

/// sha256(text): the SHA-256 digest in hexadecimal; keys are stored in this
/// form.
json
Sha256(scenario&, json const& aArguments)
{
  return digest::Of(aArguments.at(0).get<std::string>()).Hex();
}

constexpr std::array kVerbs{
  scenario_verb{ "begin", &Begin },
  scenario_verb{ "body_so_far", &BodySoFar },
  scenario_verb{ "drop", &Drop },
  scenario_verb{ "finish", &Finish },
  scenario_verb{ "decode", &Decode },
  scenario_verb{ "encode", &Encode },
  scenario_verb{ "sha256", &Sha256 },
};

}

std::span<scenario_verb const>
HttpVerbs()
{
  return kVerbs;
}

}
