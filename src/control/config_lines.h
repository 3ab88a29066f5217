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

// bytes of a gatekeeper's or distributor's name; 1 at least
constexpr std::size_t kMaxGatekeeperNameLength = 255;
constexpr std::size_t kMaxSentReasonLength =
    500;                                        // bytes of a refusal's reason that are told; the rest is cut
constexpr std::size_t kMaxReasonLength = 2048;  // that are taken; a byte that is no UTF-8 is told as three
constexpr int kMaxPatchDepth = 64;              // objects and lists within each other

std::string_view to_string(distribution::VoterState standing);  // new, recovering, voting
bool is_gatekeeper_name(std::string_view name);                 // its length, and no control characters

// ---- from whoever connected, to a distributor

nlohmann::json subscribe_line(const std::string& name,
                              const std::vector<distribution::VersionsNotified::Entry>& held, bool primary);
nlohmann::json subscribe_all_line(const std::string& name);
nlohmann::json primary_line(bool primary);
nlohmann::json acknowledge_line();
nlohmann::json fetch_line(const std::string& service, distribution::Version version);
nlohmann::json report_line(const distribution::ReportStatus& report);
nlohmann::json return_line(const distribution::ServiceConfig& document);
nlohmann::json propose_line(std::uint64_t proposal, const distribution::ServiceConfig& document);
nlohmann::json heartbeat_answer_line();

// What such a line is as an event of the Distributor; none: a beat's answer. Not of `config` lines: those are
// the operators'.
std::optional<distribution::DistributorEvent> parse_client_line(distribution::ClientId client,
                                                                const nlohmann::json& line);

// ---- from a distributor

nlohmann::json versions_line(const distribution::NotifyVersions& notice);
nlohmann::json config_line(const distribution::ServiceConfig& document);
nlohmann::json missing_line(const std::string& service);
nlohmann::json request_config_line(const std::string& service);
nlohmann::json heartbeat_line();
nlohmann::json proposal_answer_line(const distribution::AnswerProposal& answer);

// What such a line is at a gatekeeper, and at another distributor (none: it is a beat there).
distribution::SubscriberEvent parse_subscriber_line(std::uint32_t source, const nlohmann::json& line);
std::optional<distribution::DistributorEvent> parse_peer_line(std::uint32_t peer, const nlohmann::json& line);

// ---- what is saved: a bucket's records as text, one line a service; throws ProtocolError.

std::string serialize_records(const std::map<std::string, distribution::ServiceRecord>& records);
std::map<std::string, distribution::ServiceRecord> parse_records(std::string_view text);

// A JSON merge patch in its one form: no white space, keys sorted. Throws ProtocolError where it is no JSON
// object, sets anything but `settings` and `journal`, or is nested deeper than kMaxPatchDepth.
std::string canonical_patch(std::string_view text);

// Why a content in that form can't be published for the service, in a few words: its name, its size, a line
// of it that would pass kLineBound. Empty: it can.
std::string find_config_error(std::string_view service, std::string_view content);

}  // namespace graniterun::control
