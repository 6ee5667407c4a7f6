#include <LibGateway/RefusalAnswer.h>

#include <array>
#include <cstdio>

namespace lycheeseam {

namespace {

std::string
ReasonOf(refusal_status aStatus)
{
  switch (aStatus) {
    case refusal_status::BadRequest:
      return "Bad Request";
    case refusal_status::Unauthorized:
      return "Unauthorized";
    case refusal_status::NotFound:
      return "Not Found";
    case refusal_status::RequestTimeout:
      return "Request Timeout";
    case refusal_status::BodyTooLarge:
      return "Content Too Large";
    case refusal_status::OverQuota:
      return "Too Many Requests";
    case refusal_status::HeadTooLarge:
      return "Request Header Fields Too Large";
    case refusal_status::BadGateway:
      return "Bad Gateway";
    case refusal_status::NotReady:
      return "Service Unavailable";
    case refusal_status::Timeout:
      return "Gateway Timeout";
  }
  return {};
}

std::string
FormatSeconds(std::chrono::milliseconds aSpan)
{
  constexpr double kMillisecondsPerSecond = 1000.0;
  std::array<char, 32> text{};
  int const size =
    std::snprintf(text.data(),
                  text.size(),
                  "%.3f",
                  static_cast<double>(aSpan.count()) / kMillisecondsPerSecond);
  return { text.data(), static_cast<std::size_t>(size) };
}

}

answer_head
RefusalHead(refusal_status aStatus, std::chrono::milliseconds aRetryAfter)
{
  answer_head head{ .mStatus = static_cast<std::uint32_t>(aStatus),
                    .mReason = ReasonOf(aStatus) };
  if (aRetryAfter.count() > 0)
    head.mFields.push_back({ "Retry-After", FormatSeconds(aRetryAfter) });
  return head;
}

}
