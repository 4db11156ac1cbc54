#pragma once

#include <azurecross_policy/azurecross_policy.h>

#include <string>
#include <vector>

namespace azurecross {

/** An arbiter with a manual clock, and factories for backend servers and
 * requests. */
struct ArbiterFixture
{
  static BackendServerDescription MakeEngine(const std::string& aId)
  {
    return { BackendServerId(aId), { ModelName("m") }, 100'000, 64, false };
  }

  static BackendServerDescription MakeService(const std::string& aId,
                                              std::uint32_t aSlots)
  {
    return { BackendServerId(aId), {}, 0, aSlots, false };
  }

  static GrantRequest MakeEngineRequest(const std::string& aId,
                                        Rank aRank = Rank::Urgent,
                                        const std::string& aCustomer = "c")
  {
    GrantRequest request;
    request.request_ = RequestId(aId);
    request.entry_ = EntryId("e1");
    request.customer_ = CustomerId(aCustomer);
    request.rank_ = aRank;
    request.route_ = RouteName("r");
    request.model_ = ModelName("m");
    request.promptTokens_ = 100;
    return request;
  }

  static GrantRequest MakeServiceRequest(const std::string& aId,
                                         Rank aRank = Rank::Urgent,
                                         const std::string& aCustomer = "c")
  {
    GrantRequest request = MakeEngineRequest(aId, aRank, aCustomer);
    request.model_ = {};
    request.promptTokens_ = 0;
    return request;
  }

  template<typename Action>
  static std::vector<Action> SelectActions(const ArbiterActions& aActions)
  {
    std::vector<Action> selected;
    for (const ArbiterAction& action : aActions) {
      if (const auto* match = std::get_if<Action>(&action)) {
        selected.push_back(*match);
      }
    }
    return selected;
  }

  /** Clears the list of actions. @returns the removed actions of one type. */
  template<typename Action>
  std::vector<Action> TakeActions()
  {
    auto selected = SelectActions<Action>(actions_);
    actions_.clear();
    return selected;
  }

  Time Advance(Duration aStep)
  {
    now_ += aStep;
    return now_;
  }

  Arbiter arbiter_;
  ArbiterActions actions_;
  Time now_{};
};

} // namespace azurecross
