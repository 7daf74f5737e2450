/// The help text.
pub const HELP: &str = "\
mustardhinge-ctl: what operators do with services

Usage: mustardhinge-ctl [--agent IP:PORT] [--json] COMMAND

Commands:
  check FILE                        check a service document, without an agent
  apply FILE --expect VERSION       put a document in force if VERSION is in
                                    force now; 0 creates the service
  show SERVICE                      print the document in force
  diff FILE                         name what differs from the document in force
  status                            print what the agent knows
  withdraw-key SERVICE CUSTOMER     withdraw the key read from standard input,
       [--digest DIGEST]            or the one with this digest
  drain SERVICE TARGET [--undo]     give a target no new work
  drain [--undo]                    make the agent's own instance leave
  switchover GROUP [--to TARGET]    change the primary of a group as planned
  explain --instance IP:PORT        print where an instance of the resident process
       SERVICE ROUTE CUSTOMER       would route a read now, or a write, or the begin
       [--write | --begin]          of a transaction, and why; nothing is sent
  key-digest                        print the digest of the key read from
                                    standard input

Options:
  --agent IP:PORT      operator address of any agent; MUSTARDHINGE_AGENT without it
  --operation ID       name the update, to repeat one of unknown outcome
  --json               print JSON
  --help               print this text
  --version            print the version

Exit codes: 0 done, 1 failed, 2 usage or findings in a document.
";
