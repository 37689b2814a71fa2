//! What a cluster is made of.

/// Secret of the meshes that are started here.
pub const MESH_SECRET: &str = "a secret for tests only";

/// Regions and data centres of the letter's size: three and seven.
pub const DATA_CENTRES: [(&str, &str); 7] = [
    ("r1", "r1-a"),
    ("r1", "r1-b"),
    ("r2", "r2-a"),
    ("r2", "r2-b"),
    ("r3", "r3-a"),
    ("r3", "r3-b"),
    ("r3", "r3-c"),
];

/// What a cluster is made of.
#[derive(Debug, Clone)]
pub struct ClusterPlan {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of data centres over which they are spread.
    pub data_centres: usize,
    /// Lines added to the `[tuning]` table of every node.
    pub tuning: String,
    /// Whether broken invariants end a node.
    pub strict: bool,
    /// Level of the nodes' log lines.
    pub log_level: &'static str,
}

impl Default for ClusterPlan {
    fn default() -> Self {
        Self {
            nodes: 3,
            data_centres: 1,
            tuning: String::new(),
            strict: true,
            log_level: "info",
        }
    }
}
