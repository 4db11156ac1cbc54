#pragma once

#include "../codec/FieldReader.h"
#include "TableRevision.h"

#include <boost/json/object.hpp>

namespace azurecross {

boost::json::object
EncodeRevision(const TableRevision& aRevision);

/** Reads a revision; what is wrong with it is added to the problems. */
TableRevision
DecodeRevision(const boost::json::object& aObject,
               const std::string& aSource,
               TableProblems& aProblems);

} // namespace azurecross
