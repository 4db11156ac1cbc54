#pragma once

#include "Figures.h"
#include "Records.h"

#include <cstdint>
#include <string>
#include <vector>

namespace azurecross {

/** Counts second runs, denied runs and answers without a run. */
void
CheckOperations(const std::vector<OperationRecord>& aOperations,
                const BackendRecord& aRecord,
                Figures& aFigures);

/** Counts streams that carry the generation of another request. */
void
CheckStreams(const std::vector<StreamRecord>& aStreams,
             const BackendRecord& aRecord,
             Figures& aFigures);

/** Counts work that a backend server got too long after its notice. */
void
CheckLeaving(const std::string& aBackend,
             std::int64_t aAfterLeavingMilliseconds,
             Figures& aFigures);

/** Counts an answer that is not the one to this operation. */
void
CheckAnswer(const OperationRecord& aOperation,
            std::string_view aRequestId,
            const std::string& aBody,
            Figures& aFigures);

/** Counts a revision below the highest one of the same process. */
void
CheckRevision(const std::string& aWhere,
              std::int64_t aRevision,
              std::int64_t& aHighest,
              Figures& aFigures);

} // namespace azurecross
