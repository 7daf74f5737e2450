use jsonrpsee::http_client::HttpClient;
use mustardhinge_agent::AgentProcess;
use mustardhinge_config::settings::AgentSettings;
use mustardhinge_rpc::AgentApiClient;
use mustardhinge_rpc::control::ControlRequest;

/// Settings of an agent alone: nothing listens at the platform's address.
const SETTINGS: &str = "
    instance = 'muscat-1-a'
    zone = 'muscat-1'
    listen = '127.0.0.1:0'
    operator = '127.0.0.1:0'
    platform = '127.0.0.1:9'
";

#[tokio::test]
async fn an_agent_alone_has_no_proof_and_is_not_ready() {
    let settings = AgentSettings::parse(SETTINGS).unwrap();
    let builder = AgentProcess::builder().settings(settings).incarnation(7);
    let agent = builder.start().await.unwrap();
    let url = format!("http://{}", agent.address());
    let client = HttpClient::builder().build(url).unwrap();
    let request = ControlRequest {
        agent_incarnation: 0,
        known_revision: 0,
        wait_ms: 50,
    };
    let state = client.control_state(request).await.unwrap();
    assert_eq!(state.agent_incarnation, 7);
    assert_eq!(state.proof_age_ms, None);
    assert!(state.services.is_empty());
    assert!(!agent.is_ready());
    agent.stop().await;
}
