#include <LibAdmin/AdminServer.h>
#include <LibAdmin/DecodeAdminCall.h>
#include <LibAdmin/FormatOutcome.h>
#include <LibCore/InvalidInput.h>

#include <pistache/http.h>

namespace lycheeseam {

namespace {

// The largest request, headers included.
constexpr std::size_t kMaxRequestBytes = 16UL * 1024 * 1024;
// Pistache limits the buffer in which it builds an answer to this size.
constexpr std::size_t kMaxAnswerBytes = 64UL * 1024 * 1024;

class admin_handler : public Pistache::Http::Handler
{
public:
  HTTP_PROTOTYPE(admin_handler)

  admin_handler(operator_directory aOperators, admin_executor aExecutor)
    : mOperators(std::move(aOperators))
    , mExecutor(std::move(aExecutor))
  {
  }

  void onRequest(Pistache::Http::Request const& aRequest,
                 Pistache::Http::ResponseWriter aWriter) override
  {
    admin_answer const answer = Answer(aRequest);
    bool const isJson = answer.mContentType == "application/json";
    aWriter.setMime(isJson ? MIME(Application, Json) : MIME(Text, Plain));
    aWriter.send(static_cast<Pistache::Http::Code>(answer.mStatus),
                 answer.mBody);
  }

private:
  [[nodiscard]] std::optional<std::string> FindOperator(
    Pistache::Http::Request const& aRequest) const
  {
    static constexpr std::string_view kBearer = "Bearer ";
    std::optional<Pistache::Http::Header::Raw> const raw =
      aRequest.headers().tryGetRaw("Authorization");
    if (!raw || !raw->value().starts_with(kBearer))
      return std::nullopt;
    return mOperators.Find(digest::Of(raw->value().substr(kBearer.size())));
  }

  [[nodiscard]] admin_answer Answer(
    Pistache::Http::Request const& aRequest) const
  {
    // Metrics need no key, since collectors have no operator's key.
    std::string name = "metrics";
    if (aRequest.resource() != "/metrics") {
      std::optional<std::string> const found = FindOperator(aRequest);
      if (!found)
        return ErrorAnswer(401,
                           "the Authorization header has no operator's key");
      name = *found;
    }
    try {
      return mExecutor(DecodeAdminCall(aRequest, std::move(name)));
    } catch (invalid_input const& fault) {
      return ErrorAnswer(400, fault.what());
    }
  }

  operator_directory mOperators;
  admin_executor mExecutor;
};

}

admin_server::admin_server(endpoint const& aListen,
                           operator_directory aOperators,
                           admin_executor aExecutor)
  : mEndpoint(
      Pistache::Address(aListen.mAddress, Pistache::Port(aListen.mPort)))
{
  mEndpoint.init(Pistache::Http::Endpoint::options()
                   .threads(1)
                   .flags(Pistache::Tcp::Options::ReuseAddr)
                   .maxRequestSize(kMaxRequestBytes)
                   .maxResponseSize(kMaxAnswerBytes));
  mEndpoint.setHandler(std::make_shared<admin_handler>(std::move(aOperators),
                                                       std::move(aExecutor)));
  mEndpoint.serveThreaded();
}

admin_server::~admin_server()
{
  mEndpoint.shutdown();
}

}
