#include <greengagedrum/config/json_text.hpp>
#include <greengagedrum/config/render.hpp>
#include <greengagedrum/config/version_choice.hpp>

namespace greengagedrum::config
{

namespace
{

using version_list = std::vector<sound_version>;

// Walks both lists from their newest versions back to a pair that fits.
class walk
{
public:
    walk(const history_map& all, const document_history& own)
        : documents(all), workspaces(own.sound())
    {
    }

    version_choice run()
    {
        version_choice choice;
        while (this->at < this->workspaces.size()) {
            const sound_version& workspace = this->workspaces[this->at];
            if (workspace.parsed == nullptr)
                break; // older than a deletion: not to come back
            const auto& body = std::get<workspace_document>(*workspace.parsed);
            this->enter(body.template_name);
            const sound_version* from = this->candidate();
            fault_list faults = this->misfits(body, from);
            if (faults.empty()) {
                choice.workspace = &workspace;
                choice.from = from;
                break;
            }
            this->pass_over(workspace, from, std::move(faults), choice);
        }
        return choice;
    }

private:
    void enter(const std::string& template_name)
    {
        if (template_name == this->current)
            return;
        this->current = template_name;
        this->back = 0;
        const auto found =
            this->documents.find(std::string(template_prefix) + template_name);
        this->templates =
            found == this->documents.end() ? nullptr : &found->second.sound();
    }

    const sound_version* candidate() const
    {
        if (this->templates == nullptr || this->back >= this->templates->size())
            return nullptr;
        return &(*this->templates)[this->back];
    }

    fault_list misfits(const workspace_document& body,
                       const sound_version* from) const
    {
        if (from != nullptr && from->parsed != nullptr)
            return check_fit(std::get<request_template>(*from->parsed), body);
        return {{std::string(workspace_prefix) + body.name,
                 "/template",
                 shown(body.template_name),
                 "is not a template",
                 ""}};
    }

    void pass_over(const sound_version& workspace,
                   const sound_version* from,
                   fault_list faults,
                   version_choice& choice)
    {
        const bool older_template = this->templates != nullptr &&
                                    this->back + 1 < this->templates->size();
        const bool template_last =
            from != nullptr &&
            from->source.revision > workspace.source.revision;
        if (older_template && template_last) {
            this->refuse(from->source, std::move(faults), choice);
            ++this->back;
            return;
        }
        this->refuse(workspace.source, std::move(faults), choice);
        ++this->at;
    }

    static void
    refuse(const document& source, fault_list faults, version_choice& choice)
    {
        choice.refused.push_back(
            {source.name, source.revision, std::move(faults)});
    }

    const history_map& documents;
    const version_list& workspaces;
    const version_list* templates = nullptr; // of `current`
    std::string current;
    std::size_t at = 0;   // into workspaces
    std::size_t back = 0; // into templates
};

} // namespace

version_choice choose_versions(const history_map& documents,
                               const std::string& name)
{
    const auto found = documents.find(name);
    if (found == documents.end())
        return {};
    return walk(documents, found->second).run();
}

} // namespace greengagedrum::config
