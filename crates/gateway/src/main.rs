fn main() -> std::process::ExitCode {
    bramblewharf_gateway::cli::run()
}
