#include "PlatformRoutes.h"

#include "FaultForm.h"
#include <LibCodec/JsonText.h>
#include <LibPlatform/PlatformForms.h>

#include <charconv>
#include <string>

namespace lycheeseam::standin {

namespace routes = Pistache::Rest::Routes;
using Pistache::Http::Code;
using Pistache::Rest::Request;
using Pistache::Rest::Route;

namespace {

std::uint64_t
NumberOf(Request const& aRequest,
         std::string const& aName,
         std::uint64_t aDefault)
{
  std::optional<std::string> const text = aRequest.query().get(aName);
  if (!text)
    return aDefault;
  std::uint64_t value = 0;
  char const* const end = text->data() + text->size();
  std::from_chars_result const parsed =
    std::from_chars(text->data(), end, value);
  if (parsed.ec != std::errc{} || parsed.ptr != end)
    throw invalid_input(aName + " is not a number");
  return value;
}

read_request
ReadRequestOf(Request const& aRequest)
{
  std::uint64_t const waitMs = NumberOf(aRequest, "wait_ms", 0);
  std::uint64_t const max = NumberOf(aRequest, "max", 256);
  return { .mFrom = log_offset{ NumberOf(aRequest, "from", 1) },
           .mMaxRecords = static_cast<std::uint32_t>(max),
           .mMaxWait = std::chrono::milliseconds{ waitMs } };
}

// Wraps a handler so that invalid_input becomes a 400 with the error's text.
template<typename Serve>
auto
WithInputErrors(Serve aServe)
{
  return
    [aServe](Request const& aRequest, Pistache::Http::ResponseWriter aWriter) {
      responder const answer{ std::move(aWriter) };
      try {
        aServe(aRequest, answer);
      } catch (invalid_input const& fault) {
        nlohmann::json const body{ { "error", fault.what() } };
        answer.Send(Code::Bad_Request, body.dump());
      }
      return Route::Result::Ok;
    };
}

}

platform_routes::platform_routes(platform& aPlatform)
  : mPlatform(aPlatform)
{
  AddLogRoutes();
  AddInstanceRoutes();
  AddControlRoutes();
}

std::shared_ptr<Pistache::Rest::Private::RouterHandler>
platform_routes::Handler() const
{
  return mRouter.handler();
}

void
platform_routes::AddLogRoutes()
{
  auto const append = [this](Request const& aRequest,
                             responder const& aAnswer) {
    mPlatform.Append(aRequest.body(), aAnswer);
  };
  auto const read = [this](Request const& aRequest, responder const& aAnswer) {
    mPlatform.Read({ ReadRequestOf(aRequest), aAnswer });
  };
  auto const offsets = [this](Request const&, responder const& aAnswer) {
    mPlatform.Offsets(aAnswer);
  };
  routes::Post(mRouter, "/v1/log/records", WithInputErrors(append));
  routes::Get(mRouter, "/v1/log/records", WithInputErrors(read));
  routes::Get(mRouter, "/v1/log/offsets", WithInputErrors(offsets));
}

void
platform_routes::AddInstanceRoutes()
{
  auto const list = [this](Request const&, responder const& aAnswer) {
    mPlatform.ListInstances(aAnswer);
  };
  auto const put = [this](Request const& aRequest, responder const& aAnswer) {
    listed_instance const line = FromJsonText<listed_instance>(aRequest.body());
    mPlatform.PutInstance(line, aAnswer);
  };
  auto const remove = [this](Request const& aRequest,
                             responder const& aAnswer) {
    instance_id const id{ aRequest.param(":id").as<std::string>() };
    mPlatform.RemoveInstance(id, aAnswer);
  };
  routes::Get(mRouter, "/v1/instances", WithInputErrors(list));
  routes::Put(mRouter, "/v1/instances/:id", WithInputErrors(put));
  routes::Delete(mRouter, "/v1/instances/:id", WithInputErrors(remove));
}

void
platform_routes::AddControlRoutes()
{
  auto const weights = [this](Request const&, responder const& aAnswer) {
    mPlatform.FetchWeights(aAnswer);
  };
  auto const faults = [this](Request const&, responder const& aAnswer) {
    aAnswer.Send(Code::Ok, ToJsonText(mPlatform.Faults()));
  };
  auto const setFaults = [this](Request const& aRequest,
                                responder const& aAnswer) {
    mPlatform.SetFaults(FromJsonText<fault_settings>(aRequest.body()));
    aAnswer.Send(Code::Ok, ToJsonText(mPlatform.Faults()));
  };
  routes::Get(mRouter, "/v1/weights/:model/:version", WithInputErrors(weights));
  routes::Get(mRouter, "/control/faults", WithInputErrors(faults));
  routes::Put(mRouter, "/control/faults", WithInputErrors(setFaults));
}

}
