#include <StandIns/Http/HttpRequest.h>

namespace lycheeseam::standin {

namespace {

std::string_view
View(boost::beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

}

std::string_view
PathOf(http_request const& aRequest)
{
  std::string_view const target = View(aRequest.target());
  return target.substr(0, target.find('?'));
}

std::string_view
QueryValue(http_request const& aRequest, std::string_view aName)
{
  std::string_view const target = View(aRequest.target());
  std::size_t const mark = target.find('?');
  if (mark == std::string_view::npos)
    return {};
  std::string_view rest = target.substr(mark + 1);
  while (!rest.empty()) {
    std::size_t const end = rest.find('&');
    std::string_view const field = rest.substr(0, end);
    if (field.starts_with(aName) && field.substr(aName.size()).starts_with('='))
      return field.substr(aName.size() + 1);
    rest = end == std::string_view::npos ? "" : rest.substr(end + 1);
  }
  return {};
}

std::string_view
HeaderValue(http_request const& aRequest, std::string_view aName)
{
  return View(
    aRequest[boost::beast::string_view{ aName.data(), aName.size() }]);
}

}
