#include "Error.h"

#include <boost/throw_exception.hpp>

#include <sstream>
#include <stdexcept>

namespace azurecross {

std::ostream&
operator<<(std::ostream& aStream, const Error& aError)
{
  return aStream << kErrorCodeNames.FindName(aError.code_) << " ("
                 << kVerdictNames.FindName(aError.verdict_)
                 << "): " << aError.message_;
}

void
throw_exception_from_error(const Error& aError,
                           const boost::source_location& aLocation)
{
  std::ostringstream text;
  text << aError;
  boost::throw_exception(std::runtime_error(text.str()), aLocation);
}

} // namespace azurecross
