#include <greengagedrum/config/parsed_document.hpp>
#include <greengagedrum/config/references.hpp>
#include <greengagedrum/config/render.hpp>
#include <greengagedrum/config/store.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace greengagedrum::config
{

changes store::apply(const document_set& received)
{
    changes result;
    const bool was_whole = this->whole;
    const std::uint64_t cut_before = this->cut;
    for (const document& version : received.documents)
        this->offer(version, result);
    this->advance(received);
    this->counted.added += result.added;
    this->counted.known += result.known;
    this->counted.conflicts += result.conflicts;
    const bool moved = result.added > 0 || this->cut != cut_before;
    if (this->whole && (moved || !was_whole))
        result.in_force = this->rebuild();
    return result;
}

void store::offer(const document& version, changes& result)
{
    switch (this->documents[version.name].offer(version)) {
    case document_history::outcome::added:
        ++result.added;
        break;
    case document_history::outcome::known:
        ++result.known;
        break;
    case document_history::outcome::conflict:
        ++result.conflicts;
        break;
    }
}

// A part of the changes, received before all that went before it, must not
// move the cut: what lies between would never be asked for again. That is why
// only a complete set starts it.
void store::advance(const document_set& received)
{
    if (received.revision < this->cut)
        ++this->counted.older_sets;
    this->whole = this->whole || received.complete;
    if (this->whole)
        this->cut = std::max(this->cut, received.revision);
}

document_set store::newer_than(std::uint64_t since) const
{
    document_set set;
    set.revision = this->cut;
    set.complete = this->whole && since == 0;
    for (const auto& [name, history] : this->documents)
        history.append_newer(since, set.documents);
    std::sort(set.documents.begin(),
              set.documents.end(),
              [](const document& left, const document& right) {
                  return std::tie(left.revision, left.name) <
                         std::tie(right.revision, right.name);
              });
    return set;
}

const sound_version* store::choose_fleet() const
{
    const auto found = this->documents.find(fleet_name);
    if (found == this->documents.end() || found->second.sound().empty())
        return nullptr;
    return &found->second.sound().front();
}

void store::note_unsound()
{
    for (const auto& [name, history] : this->documents) {
        const auto& broken = history.unsound();
        if (!broken)
            continue;
        this->refused.push_back(
            {name, broken->source.revision, "", broken->faults});
        this->lacking = this->lacking || history.sound().empty();
    }
}

const store::rendered& store::render_once(const std::string& workspace,
                                          const version_choice& choice,
                                          const fleet& in)
{
    const pair_in_force pair{choice.workspace->source.revision,
                             choice.from->source.revision};
    rendered& out = this->kept[workspace];
    const auto found = this->former.find(workspace);
    if (found != this->former.end() && found->second.from == pair &&
        found->second.fleet == this->fleet_revision) {
        out = std::move(found->second);
        return out;
    }
    const auto& body = std::get<workspace_document>(*choice.workspace->parsed);
    const auto& from = std::get<request_template>(*choice.from->parsed);
    out = {pair, this->fleet_revision, render(from, body), {}};
    check_workspace_references(in, from, body, out.warnings);
    check_template_references(in, from, out.warnings);
    return out;
}

void store::add_workspace(const std::string& name,
                          snapshot& into,
                          in_use_map& in_use)
{
    version_choice choice = choose_versions(this->documents, name);
    const std::string workspace = name.substr(workspace_prefix.size());
    for (passed_over& one : choice.refused)
        this->refused.push_back({std::move(one.document),
                                 one.revision,
                                 workspace,
                                 std::move(one.faults)});
    if (choice.workspace == nullptr) {
        this->lacking = this->lacking || !choice.refused.empty();
        return;
    }
    const rendered& made = this->render_once(workspace, choice, into.fleet);
    for (const fault& one : made.warnings)
        add_fault(this->warned, one);
    into.workspaces.emplace(workspace, made.rules);
    const std::uint64_t own = choice.workspace->source.revision;
    const std::uint64_t template_revision = choice.from->source.revision;
    in_use[name].insert(own);
    in_use[choice.from->source.name].insert(template_revision);
    this->chosen[name] = {own, template_revision};
}

bool store::rebuild()
{
    this->refused.clear();
    this->warned.clear();
    this->lacking = false;
    this->note_unsound();
    const sound_version* found = this->choose_fleet();
    if (found == nullptr)
        return false;
    const auto before = std::exchange(this->chosen, {});
    auto built = std::make_shared<snapshot>();
    built->rev = this->cut;
    built->fleet = std::get<fleet>(*found->parsed);
    this->fleet_revision = found->source.revision;
    this->former = std::exchange(this->kept, {});
    in_use_map in_use;
    this->chosen[found->source.name] = {found->source.revision, 0};
    for (const auto& [name, history] : this->documents) {
        if (name.starts_with(workspace_prefix))
            this->add_workspace(name, *built, in_use);
    }
    this->former.clear();
    for (auto& [name, history] : this->documents)
        history.prune(in_use[name]);
    // Shown is what is held, so that instances that hold the same show it too.
    std::erase_if(this->refused, [this](const refusal& one) {
        return !this->documents.at(one.document).holds(one.revision);
    });
    this->in_force = std::move(built);
    return this->chosen != before;
}

} // namespace greengagedrum::config
