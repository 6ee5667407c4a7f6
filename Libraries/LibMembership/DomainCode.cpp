#include <LibMembership/DomainCode.h>

#include <xxhash.h>

namespace lycheeseam {

domain_code
DomainCode(failure_domain const& aDomain)
{
  std::string const& name = aDomain.Text();
  return domain_code{ XXH32(name.data(), name.size(), 0) };
}

}
