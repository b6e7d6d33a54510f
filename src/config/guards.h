// The guards that PROTOCOL's rules hang on, by name. In an ordinary build each is `true` at compile time and costs nothing.
// A build with FOXSHUNT_SEAMS can take one out, so that tests show that they fail without it: tests/guards.txt says which.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace foxshunt::guards {

// docs/design.md, "Why the rules hold", has the reason of each.
enum class Guard : std::uint8_t {
  fence,                // reports are answered until a fence after the last moment whose changes are known
  fence_reading,        // that moment is not only the lease's, also that of reading
  reading_settled,      // and does not move while a record that was removed waits to be read again
  answer_rechecked,     // an answer that has waited looks at the right to answer once more
  answer_term,          // and at the term
  start_confirmed,      // nothing is started once the lead's lease may have ended
  start_durable,        // a placement is durable before its start
  gang_durable,         // all placements of a gang are
  higher_term,          // word of a higher term ends a lead
  report_order,         // a report that is not newer than the last one teaches nothing
  report_returned,      // nor one of a machine that was returned
  report_session,       // a report tells of tasks of its own session only
  ended_session,        // a later session began without tasks
  absent_saw_term,      // absence proves nothing before the worker has seen this term
  absent_told,          // nor of a task whose start may be yet to come
  lease_last_report,    // a lease runs from the last report that was answered
  lease_older_leaders,  // older leaders may have renewed it
  lease_grants,         // and holders of grants
  lease_zone_seen,      // a sibling's word of where a machine stands leaves out no holder
  stranger_unusable,    // a machine with tasks that no record places there gets no more
  expired_unusable,     // nor one whose lease has ended
  grant_withdrawn,      // machines with tasks of withdrawn jobs are not granted
  grant_reload,         // nor those of jobs whose record has to be read again
  grant_strangers,      // nor those with tasks that no record places there
  grant_known,          // what was not known when it was granted ends the grant sooner
  grant_counted,        // a grant counts as used to its end
  holder_clock,         // a holder looks at its clock for each report
  holder_term,          // and at the term that the machine has seen
  holder_except,        // and at the machines that are left out
  holder_older,         // grants of older terms are dropped
  ask_order,            // a holder's word that was held up is dropped
  ask_life,             // what an ended process was granted counts until its successor's first word
  older_terms_twice,    // older terms are over once all siblings have asked twice
  others_counted,       // a takeover counts with older leaders for a fence
  write_term,           // a leader's writes are conditioned on the term
  write_job,            // and on the job's record
  write_part,           // and on the part's
  write_reload,         // after a conflict the record is read again
  write_earlier_lead,   // the answer to an earlier lead's write is dropped
  list_term,            // and a list of all records that an earlier lead read
  withdraw_mark,        // a cancellation is conditioned on the record that was read
  withdraw_lingers,     // what a withdrawn job has on machines is kept until it is proved gone
  adopted_once,         // a job that is withdrawn while a new leader reads is found in live/ and linger/: it is one job
  accept_once,          // a job is accepted if it is neither live nor over
  live_before_over,     // live/ is read before over/
  unclear_accept,       // a submission without an answer is looked up
  clear_settled,        // an end is cleared when it is durable
  clear_after_copies,   // and when no copy of the start can be carried out any more
  quota_placed,         // all that is not proved gone counts for the team's limit
  place_known,          // no task beside one of which it is not known where it runs
  ready_term,           // a takeover reads its own term back
  ready_records,        // and knows the records up to it
  ready_fences,         // and reckons older fences
  ready_lease,          // and looks at the clock after the last wait
};

struct Name {
  Guard guard;
  std::string_view text;
};

inline constexpr std::array kNames{
    Name{Guard::fence, "fence"},
    Name{Guard::fence_reading, "fence-reading"},
    Name{Guard::reading_settled, "reading-settled"},
    Name{Guard::answer_rechecked, "answer-rechecked"},
    Name{Guard::answer_term, "answer-term"},
    Name{Guard::start_confirmed, "start-confirmed"},
    Name{Guard::start_durable, "start-durable"},
    Name{Guard::gang_durable, "gang-durable"},
    Name{Guard::higher_term, "higher-term"},
    Name{Guard::report_order, "report-order"},
    Name{Guard::report_returned, "report-returned"},
    Name{Guard::report_session, "report-session"},
    Name{Guard::ended_session, "ended-session"},
    Name{Guard::absent_saw_term, "absent-saw-term"},
    Name{Guard::absent_told, "absent-told"},
    Name{Guard::lease_last_report, "lease-last-report"},
    Name{Guard::lease_older_leaders, "lease-older-leaders"},
    Name{Guard::lease_grants, "lease-grants"},
    Name{Guard::lease_zone_seen, "lease-zone-seen"},
    Name{Guard::stranger_unusable, "stranger-unusable"},
    Name{Guard::expired_unusable, "expired-unusable"},
    Name{Guard::grant_withdrawn, "grant-withdrawn"},
    Name{Guard::grant_reload, "grant-reload"},
    Name{Guard::grant_strangers, "grant-strangers"},
    Name{Guard::grant_known, "grant-known"},
    Name{Guard::grant_counted, "grant-counted"},
    Name{Guard::holder_clock, "holder-clock"},
    Name{Guard::holder_term, "holder-term"},
    Name{Guard::holder_except, "holder-except"},
    Name{Guard::holder_older, "holder-older"},
    Name{Guard::ask_order, "ask-order"},
    Name{Guard::ask_life, "ask-life"},
    Name{Guard::older_terms_twice, "older-terms-twice"},
    Name{Guard::others_counted, "others-counted"},
    Name{Guard::write_term, "write-term"},
    Name{Guard::write_job, "write-job"},
    Name{Guard::write_part, "write-part"},
    Name{Guard::write_reload, "write-reload"},
    Name{Guard::write_earlier_lead, "write-earlier-lead"},
    Name{Guard::list_term, "list-term"},
    Name{Guard::withdraw_mark, "withdraw-mark"},
    Name{Guard::withdraw_lingers, "withdraw-lingers"},
    Name{Guard::adopted_once, "adopted-once"},
    Name{Guard::accept_once, "accept-once"},
    Name{Guard::live_before_over, "live-before-over"},
    Name{Guard::unclear_accept, "unclear-accept"},
    Name{Guard::clear_settled, "clear-settled"},
    Name{Guard::clear_after_copies, "clear-after-copies"},
    Name{Guard::quota_placed, "quota-placed"},
    Name{Guard::place_known, "place-known"},
    Name{Guard::ready_term, "ready-term"},
    Name{Guard::ready_records, "ready-records"},
    Name{Guard::ready_fences, "ready-fences"},
    Name{Guard::ready_lease, "ready-lease"},
};

#ifdef FOXSHUNT_SEAMS
// Whether the guard stands. The first call takes out what the environment variable FOXSHUNT_WITHOUT names; a name that is
// unknown there throws std::invalid_argument.
[[nodiscard]] bool kept(Guard guard);
// From now on the guard is missing, and only that one; nothing: all stand.
void take_out(std::optional<Guard> guard);
#else
[[nodiscard]] constexpr bool kept(Guard) { return true; }
#endif

[[nodiscard]] constexpr std::optional<Guard> guard_named(std::string_view text) {
  for (const Name& name : kNames) {
    if (name.text == text) return name.guard;
  }
  return std::nullopt;
}

}  // namespace foxshunt::guards
