#pragma once

#include "../store/TableReader.h"
#include "EditOutcome.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace azurecross {

struct TableEditorSettings
{
  /** Attempts to settle an edit whose answer was lost. */
  int settleAttempts_ = 4;
  /** Doubles with each attempt, with jitter. */
  Duration settleDelay_ = std::chrono::milliseconds(200);
};

/**
 * Writes edits to the store, each in one transaction that compares `head`.
 *
 * If the answer to the transaction is lost, the audit entry of the revision
 * shows whose edit took effect. The same transaction may then be sent again:
 * its comparison lets at most one copy through.
 */
template<StoreClient Client>
class TableEditor
{
public:
  explicit TableEditor(Client& aClient, TableEditorSettings aSettings = {})
    : client_(aClient)
    , settings_(aSettings)
    , random_(DrawSystemSeed())
  {
  }

  /** @returns all rows and `head` as of one moment. */
  StoreCall<TableSnapshot> Read() { return ReadTableSnapshot(client_, 0); }

  /** @returns the newest audit entries, newest first. */
  StoreCall<std::vector<AuditEntry>> ReadAudit(std::int64_t aLimit)
  {
    return ReadAuditEntries(client_, aLimit);
  }

  /**
   * Checks an edit against the tables at head and writes it.
   * @returns the outcome; an error if the edit was refused (`not_run`), or if
   * it is not known whether it took effect (`may_have_run`; the message has
   * the edit id to look for in the audit).
   */
  StoreCall<EditOutcome> Apply(EditRequest aRequest)
  {
    const auto base = co_await Read();
    if (base.has_error()) {
      Error error = base.error();
      error.verdict_ = Verdict::NotRun;
      co_return error;
    }
    const auto plan =
      CaptureResult([&] { return EditPlan::Make(*base, aRequest); });
    const std::int64_t expected =
      aRequest.baseRevision_.value_or(base->revision_.number_);
    if (expected != base->revision_.number_) {
      // Named: GCC 12 destroys an aggregate temporary of a co_await expression
      // twice.
      AuditEntry own = plan.has_value() ? plan->GetAudit() : AuditEntry();
      co_return co_await MakeConflict(expected, std::move(own));
    }
    if (plan.has_error()) {
      co_return plan.error();
    }
    if (plan->IsEmpty() && !aRequest.recoversStore_) {
      EditOutcome outcome;
      outcome.verdict_ = EditVerdict::NothingToDo;
      outcome.revision_ = base->revision_;
      co_return outcome;
    }
    co_return co_await Write(*plan, base->revision_.number_);
  }

private:
  /** What the store says about an edit whose answer was lost. */
  enum class Settlement
  {
    Applied,
    NotApplied,
    Overtaken,
    Unknown,
  };

  StoreCall<EditOutcome> Write(const EditPlan& aPlan, std::int64_t aBase)
  {
    Duration delay = settings_.settleDelay_;
    bool mayHaveRun = false;
    Error lastError;
    for (int attempt = 0; attempt < settings_.settleAttempts_; ++attempt) {
      Transaction transaction = MakeEditTransaction(aPlan);
      const auto answer = co_await client_.Commit(std::move(transaction));
      if (answer.has_value() && answer->succeeded_) {
        co_return MakeApplied(aPlan);
      }
      if (answer.has_value() && !mayHaveRun) {
        AuditEntry own = aPlan.GetAudit();
        co_return co_await MakeConflict(aBase, std::move(own));
      }
      if (answer.has_error()) {
        lastError = answer.error();
        mayHaveRun = mayHaveRun || answer.error().verdict_ != Verdict::NotRun;
        co_await Sleep(delay);
        delay *= 2;
      }
      const Settlement settlement = co_await Settle(aPlan);
      if (settlement == Settlement::Applied) {
        co_return MakeApplied(aPlan);
      }
      if (settlement == Settlement::Overtaken) {
        AuditEntry own = aPlan.GetAudit();
        co_return co_await MakeConflict(aBase, std::move(own));
      }
    }
    co_return MakeUnsettled(aPlan, mayHaveRun, lastError);
  }

  StoreCall<EditOutcome> MakeConflict(std::int64_t aBase, AuditEntry aOwn)
  {
    EditOutcome outcome;
    outcome.verdict_ = EditVerdict::Conflict;
    outcome.changes_ = std::move(aOwn.changes_);
    const auto entries = co_await ReadAudit(kConflictEntries);
    if (entries.has_error()) {
      // The conflict itself is certain; only its description is missing.
      co_return outcome;
    }
    for (const AuditEntry& entry : *entries) {
      if (entry.revision_.number_ > aBase) {
        outcome.others_.push_back(entry);
      }
    }
    if (!entries->empty()) {
      outcome.revision_ = entries->front().revision_;
    }
    std::reverse(outcome.others_.begin(), outcome.others_.end());
    co_return outcome;
  }

  static EditOutcome MakeApplied(const EditPlan& aPlan)
  {
    EditOutcome outcome;
    outcome.verdict_ = EditVerdict::Applied;
    outcome.revision_ = aPlan.GetAudit().revision_;
    outcome.changes_ = aPlan.GetAudit().changes_;
    return outcome;
  }

  static Error MakeUnsettled(const EditPlan& aPlan,
                             bool aMayHaveRun,
                             Error aLastError)
  {
    aLastError.code_ = ErrorCode::StoreUnavailable;
    if (!aMayHaveRun) {
      aLastError.verdict_ = Verdict::NotRun;
      return aLastError;
    }
    aLastError.verdict_ = Verdict::MayHaveRun;
    aLastError.message_ = "it is not known whether edit " +
                          aPlan.GetAudit().revision_.editId_ +
                          " took effect (revision " +
                          std::to_string(aPlan.GetAudit().revision_.number_) +
                          "); look for it in the audit: " + aLastError.message_;
    return aLastError;
  }

  /** Looks for the edit in the audit entry of its revision. */
  boost::asio::awaitable<Settlement> Settle(const EditPlan& aPlan)
  {
    const TableRevision& wanted = aPlan.GetAudit().revision_;
    const auto snapshot = co_await ReadTableSnapshot(client_, wanted.number_);
    if (snapshot.has_error()) {
      co_return Settlement::Unknown;
    }
    const auto& written = snapshot->ancestor_;
    if (written && written->editId_ == wanted.editId_) {
      co_return Settlement::Applied;
    }
    co_return snapshot->headModRevision_ == aPlan.GetHeadModRevision()
      ? Settlement::NotApplied
      : Settlement::Overtaken;
  }

  boost::asio::awaitable<void> Sleep(Duration aDuration)
  {
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
    timer.expires_after(random_.Jitter(aDuration, 0.5));
    co_await timer.async_wait(boost::asio::use_awaitable);
  }

  /** How many edits a conflict describes. */
  static constexpr std::int64_t kConflictEntries = 50;

  Client& client_;
  TableEditorSettings settings_;
  Random random_;
};

} // namespace azurecross
