#include "catalog/model.h"

#include <algorithm>

namespace foxshunt::catalog {
namespace {

bool among(const std::vector<std::string>& names, const std::string& name) {
  return names.empty() || std::ranges::find(names, name) != names.end();
}

}  // namespace

bool JobMatch::matches(const wire::JobSpec& spec) const {
  return among(job_classes, spec.job_class) && among(teams, spec.team) && among(images, spec.image) &&
         (priorities.empty() || std::ranges::find(priorities, spec.priority) != priorities.end()) &&
         (!kind || *kind == spec.kind) && (!tasks_least || spec.tasks >= *tasks_least) &&
         (!tasks_most || spec.tasks <= *tasks_most) && (!has_deadline || *has_deadline == spec.deadline_s.has_value());
}

const ClassDef* Set::class_of(const wire::JobSpec& spec) const {
  const auto takes = [&spec](const ClassDef& one) {
    return std::ranges::any_of(one.takes, [&spec](const JobMatch& match) { return match.matches(spec); });
  };
  const auto found = std::ranges::find_if(classes, takes);
  return found == classes.end() ? nullptr : &*found;
}

}  // namespace foxshunt::catalog
