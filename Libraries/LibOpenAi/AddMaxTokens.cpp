#include <LibOpenAi/AddMaxTokens.h>

#include <cassert>

namespace lycheeseam {

// The field is spliced in before the closing brace: parsing and writing a
// long prompt again would cost more than the rest of its way. There it also
// wins over a "max_tokens" of null.
std::string
AddMaxTokens(std::string_view aBody, token_count aLimit)
{
  std::size_t const brace = aBody.rfind('}');
  assert(brace != std::string_view::npos);
  std::string body;
  std::string const field = ",\"max_tokens\":" + std::to_string(aLimit);
  body.reserve(aBody.size() + field.size());
  body += aBody.substr(0, brace);
  body += field;
  body += aBody.substr(brace);
  return body;
}

}
