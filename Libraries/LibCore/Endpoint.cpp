#include <LibCore/Endpoint.h>
#include <LibCore/InvalidInput.h>

#include <arpa/inet.h>

#include <charconv>

namespace lycheeseam {

namespace {

std::uint16_t
ParsePort(std::string_view aText)
{
  std::uint16_t port = 0;
  char const* const end = aText.data() + aText.size();
  std::from_chars_result const parsed =
    std::from_chars(aText.data(), end, port);
  if (parsed.ec != std::errc{} || parsed.ptr != end || port == 0)
    throw invalid_input("a port must be a number from 1 to 65535");
  return port;
}

bool
IsIpAddress(std::string const& aText)
{
  in6_addr parsed{};
  return inet_pton(AF_INET, aText.c_str(), &parsed) == 1 ||
         inet_pton(AF_INET6, aText.c_str(), &parsed) == 1;
}

}

endpoint
endpoint::Parse(std::string_view aText)
{
  std::size_t const colon = aText.rfind(':');
  if (colon == std::string_view::npos)
    throw invalid_input(
      "an endpoint must be an IP address, a colon and a port");
  std::string_view host = aText.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    host = host.substr(1, host.size() - 2);
  endpoint result{ .mAddress = std::string{ host },
                   .mPort = ParsePort(aText.substr(colon + 1)) };
  if (!IsIpAddress(result.mAddress))
    throw invalid_input("an endpoint's host must be an IP address, not a name");
  return result;
}

std::string
endpoint::Text() const
{
  std::string const port = std::to_string(mPort);
  if (mAddress.find(':') != std::string::npos)
    return "[" + mAddress + "]:" + port;
  return mAddress + ":" + port;
}

}
