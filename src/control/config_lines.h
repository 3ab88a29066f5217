// The lines by which configuration is distributed, as JSON: between a gatekeeper and a distributor, between
// two distributors, and between an operator and a distributor. docs/design/distribution.md lists them. Each
// throws ProtocolError where a line is none of them; a line is at most kLineBound bytes.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "control/gap_json.h"
#include "distribution/distributor.h"
#include "distribution/subscriber.h"

namespace graniterun::control {

constexpr std::size_t kLongestGatekeeper = 255;  // bytes of a gatekeeper's or distributor's name; 1 at least
constexpr std::size_t kToldReason = 500;         // bytes of a refusal's reason that are told; the rest is cut
constexpr std::size_t kLongestReason = 2048;     // that are taken; a byte that is no UTF-8 is told as three
constexpr int kDeepestPatch = 64;                // objects and lists within each other

std::string_view to_string(distribution::Standing standing);  // new, recovering, voting
bool is_gatekeeper(std::string_view name);                    // its length, and no control characters

// ---- from whoever connected, to a distributor

nlohmann::json subscribe_line(const std::string& name, const std::vector<distribution::Noticed::Entry>& held,
                              bool primary);
nlohmann::json subscribe_all_line(const std::string& name);
nlohmann::json primary_line(bool primary);
nlohmann::json heard_line();
nlohmann::json fetch_line(const std::string& service, distribution::Version version);
nlohmann::json report_line(const distribution::Report& report);
nlohmann::json hand_line(const distribution::Document& document);
nlohmann::json propose_line(std::uint64_t proposal, const distribution::Document& document);
nlohmann::json beat_answer_line();

// What such a line is as an event of the Distributor; none: a beat's answer. Not of `config` lines: those are
// the operators'.
std::optional<distribution::DistributorEvent> client_event_of(distribution::ClientId client,
                                                              const nlohmann::json& line);

// ---- from a distributor

nlohmann::json notices_line(const distribution::Notice& notice);
nlohmann::json document_line(const distribution::Document& document);
nlohmann::json missing_line(const std::string& service);
nlohmann::json ask_line(const std::string& service);
nlohmann::json beat_line();
nlohmann::json proposal_answer_line(const distribution::AnswerProposal& answer);

// What such a line is at a gatekeeper, and at another distributor (none: it is a beat there).
distribution::SubscriberEvent subscriber_event_of(std::uint32_t source, const nlohmann::json& line);
std::optional<distribution::DistributorEvent> peer_event_of(std::uint32_t peer, const nlohmann::json& line);

// ---- what is saved: a bucket's records as text, one line a service; throws ProtocolError.

std::string text_of(const std::map<std::string, distribution::Record>& records);
std::map<std::string, distribution::Record> records_in(std::string_view text);

// A JSON merge patch in its one form: no white space, keys sorted. Throws ProtocolError where it is no JSON
// object, sets anything but `settings` and `journal`, or is nested deeper than kDeepestPatch.
std::string canonical_patch(std::string_view text);

// Why a content in that form can't be published for the service, in a few words: its name, its size, a line
// of it that would pass kLineBound. Empty: it can.
std::string trouble_with(std::string_view service, std::string_view content);

}  // namespace graniterun::control
